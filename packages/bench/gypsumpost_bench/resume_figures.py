"""Figures of the experiment ``resume``."""

import math

import attrs


@attrs.frozen(kw_only=True)
class ResumeFigures:
    """Counts at the callers and the engines over all rounds of a scenario.

    :param stalls: longest gap between tokens in seconds, for each answer that the fault affected.
    :param answers: number of answers.
    :param errors: error of each answer that is incomplete or wrong.
    :param produced: tokens that all engines produced, dead ones included.
    :param delivered: tokens that the callers received.
    :param tokens: tokens of each complete answer.
    """

    stalls: tuple[float, ...]
    answers: int
    errors: tuple[str, ...]
    produced: int
    delivered: int
    tokens: int

    @property
    def redone(self) -> int:
        """Tokens that the engines produced but no caller received."""
        return self.produced - self.delivered

    def find_stall(self, part: float) -> float:
        """Return a quantile of the stalls in seconds, ``nan`` if no answer was affected.

        :param part: fraction of the stalls at or below the quantile, for example 0.99.
        """
        if not self.stalls:
            return math.nan
        return sorted(self.stalls)[max(0, math.ceil(len(self.stalls) * part) - 1)]


def join_figures(rounds: list[ResumeFigures]) -> ResumeFigures:
    """Return the joint figures of all rounds.

    :param rounds: figures of each round.
    """
    return ResumeFigures(
        stalls=tuple(stall for each in rounds for stall in each.stalls),
        answers=sum(each.answers for each in rounds),
        errors=tuple(error for each in rounds for error in each.errors),
        produced=sum(each.produced for each in rounds),
        delivered=sum(each.delivered for each in rounds),
        tokens=rounds[0].tokens,
    )
