"""Bad answers of a version against those of the others at the same moment."""

from collections.abc import Iterable

import attrs

# Keeps one bad answer among few from counting as many deviations.
MIN_VARIANCE = 0.25


@attrs.frozen(kw_only=True)
class BadAnswers:
    """Answers of one version, and how many would have been bad at the other versions.

    :param answers: answers of the version.
    :param bad: those that were bad.
    :param expected: how many would have been bad at the other versions.
    :param variance: variance of the difference of both under equal versions.
    """

    answers: int = 0
    bad: int = 0
    expected: float = 0.0
    variance: float = 0.0

    @property
    def excess(self) -> float:
        """Bad answers beyond the expected ones."""
        return self.bad - self.expected

    @property
    def excess_rate(self) -> float:
        """Part of the answers that are bad beyond the expected ones."""
        return self.excess / self.answers if self.answers else 0.0

    @property
    def deviations(self) -> float:
        """The excess in standard deviations."""
        return self.excess / max(self.variance, MIN_VARIANCE) ** 0.5

    def add(self, other: "BadAnswers") -> "BadAnswers":
        """Return the sum with other answers.

        :param other: answers of other windows, routes or groups.
        """
        return BadAnswers(
            answers=self.answers + other.answers,
            bad=self.bad + other.bad,
            expected=self.expected + other.expected,
            variance=self.variance + other.variance,
        )


def sum_answers(answers: Iterable[BadAnswers]) -> BadAnswers:
    """Return the sum of answers of different windows, routes or groups.

    :param answers: the answers.
    """
    total = BadAnswers()
    for part in answers:
        total = total.add(part)
    return total
