"""A cause of crashes, with the evidence for and against it."""

import attrs

from gypsumpost_core.crashes.crash_key import CrashKey

TRIAL_SECONDS = 15.0
"""Minimum time without a crash before one request tries whether endpoints still crash."""

TRIAL_FACTOR = 2
"""Multiple of the time over which endpoints have crashed; so trials become rare."""


@attrs.frozen(kw_only=True)
class Blame:
    """A request or a part of a prompt that crashes endpoints.

    :param key: the cause.
    :param crashes: occasions on which endpoints crashed under it and nothing else explains that.
    :param explained: occasions that another cause explains as well, or that are long ago.
    :param requests: number of different requests under which the endpoints crashed.
    :param survivals: number of recent requests that did not crash their endpoint, all before the
        first of the crashes.
    :param first_at: monotonic time in seconds of the first crash.
    :param last_at: monotonic time in seconds of the last crash.
    :param depth: position of the part in its prompts; 0 for a request.
    """

    key: CrashKey
    crashes: int
    explained: int
    requests: int
    survivals: float
    first_at: float
    last_at: float
    depth: int

    @property
    def score(self) -> float:
        """The weight of the evidence: an occasion that is explained otherwise counts half."""
        return self.crashes + self.explained / 2

    def is_trial_due(self, now: float) -> bool:
        """Return true if one request may try whether endpoints still crash on this.

        :param now: monotonic time in seconds.
        """
        pause = max(TRIAL_SECONDS, TRIAL_FACTOR * (self.last_at - self.first_at))
        return now >= self.last_at + pause
