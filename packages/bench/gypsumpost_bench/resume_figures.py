"""Figures of the experiment ``resume``."""

import attrs

from gypsumpost_bench.quantiles import find_nearest_rank


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

    def compute_stall_quantile(self, fraction: float) -> float:
        """Return a quantile of the stalls in seconds, ``nan`` if no answer was affected.

        :param fraction: fraction of the stalls at or below the quantile, for example 0.99.
        """
        return find_nearest_rank(list(self.stalls), fraction)


def join_figures(rounds: list[ResumeFigures]) -> ResumeFigures:
    """Return the joint figures of all rounds.

    :param rounds: figures of each round.
    """
    return ResumeFigures(
        stalls=tuple(stall for figures in rounds for stall in figures.stalls),
        answers=sum(figures.answers for figures in rounds),
        errors=tuple(error for figures in rounds for error in figures.errors),
        produced=sum(figures.produced for figures in rounds),
        delivered=sum(figures.delivered for figures in rounds),
        tokens=rounds[0].tokens,
    )
