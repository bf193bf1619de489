"""Answers of the other versions, with which a version is compared."""

import attrs

from gypsumpost_core.rollouts.bad_answers import BadAnswers
from gypsumpost_core.rollouts.bad_count import BadCount, sum_bad
from gypsumpost_core.rollouts.evidence_key import EvidenceKey

# Without answers of other versions nearby, a failure may as well be the fault of something else.
UNMATCHED_RATE = 0.1
# With fewer answers in a window the windows around it count, too.
MIN_ANSWERS = 8
NEARBY_WINDOWS = (0, 1, 4, 16)
# Faults come in bursts, so counts vary more than independent requests would.
OVERDISPERSION = 2.0


@attrs.frozen(kw_only=True)
class Baseline:
    """Counts of the other versions on one route, by window.

    :param windows: the counts.
    """

    windows: dict[int, BadCount]

    def covers(self, window: int) -> bool:
        """Return true if the other versions have enough answers in a window.

        :param window: number of the window.
        """
        return self.windows.get(window, BadCount()).answers >= MIN_ANSWERS

    def compare(self, key: EvidenceKey, count: BadCount) -> BadAnswers:
        """Compare a count of the version with the others at the same moment.

        :param key: what the count is about.
        :param count: the count.
        """
        others, floor = self._sum_near(key.window), 0.0
        if not self.covers(key.window):
            # An outage that has just begun shows in these few answers only.
            own = self.windows.get(key.window, BadCount())
            floor = own.bad / own.answers if own.answers else 0.0
        if others.answers < MIN_ANSWERS or not self._is_observed(key.window):
            others = sum_bad(self.windows.values())
            floor = max(floor, UNMATCHED_RATE)
        # The added answer keeps one failure of few answers from being taken for the rate.
        rate = max(floor, (others.bad + 0.5) / (others.answers + 1.0))
        rate = min(rate, 1.0)
        weight = 1.0 + count.answers / (others.answers + 1.0)
        variance = OVERDISPERSION * count.answers * rate * (1.0 - rate) * weight
        return BadAnswers(
            answers=count.answers, bad=count.bad, expected=count.answers * rate, variance=variance
        )

    def _sum_near(self, window: int) -> BadCount:
        others = BadCount()
        for span in NEARBY_WINDOWS:
            near = range(window - span, window + span + 1)
            others = sum_bad(self.windows[number] for number in near if number in self.windows)
            if others.answers >= MIN_ANSWERS:
                break
        return others

    def _is_observed(self, window: int) -> bool:
        """Return true if the other versions still answered at the time of a window."""
        return any(number >= window for number in self.windows)
