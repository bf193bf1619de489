"""Number of answers and of bad ones among them."""

from collections.abc import Iterable

import attrs

from gypsumpost_core.rollouts.version_count import VersionCount


@attrs.frozen(kw_only=True)
class BadCount:
    """Number of answers and of bad ones among them.

    :param answers: answers.
    :param bad: bad answers.
    """

    answers: int = 0
    bad: int = 0

    def add(self, other: "BadCount") -> "BadCount":
        """Return the sum with another count.

        :param other: count of other answers.
        """
        return BadCount(answers=self.answers + other.answers, bad=self.bad + other.bad)


def count_failures(count: VersionCount) -> BadCount:
    """Return failures among answers, without requests that fail at every version.

    :param count: the counts of a version.
    """
    bad = max(0, count.failures - count.shared)
    return BadCount(answers=max(count.answers, bad), bad=bad)


def count_slow(count: VersionCount) -> BadCount:
    """Return slow answers among those whose time could be compared.

    :param count: the counts of a version.
    """
    return BadCount(answers=count.timed, bad=count.slow)


def sum_bad(counts: Iterable[BadCount]) -> BadCount:
    """Return the sum of counts.

    :param counts: the counts.
    """
    total = BadCount()
    for count in counts:
        total = total.add(count)
    return total
