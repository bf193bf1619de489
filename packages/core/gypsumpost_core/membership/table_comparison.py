"""Comparison of this process's table with those of a domain's hosts."""

import math

import attrs

MISMATCH_SECONDS = 3.0
"""Time for which digests must differ before a pass starts.

Updates reach all hosts of a domain in less time, so most differences resolve by themselves.
"""

JOIN_SECONDS = 1.0
"""Minimum time between two passes of a host whose digest has never matched another's."""

RETRY_SECONDS = 0.25


@attrs.define(kw_only=True)
class TableComparison:
    """Reads another table in pages if the digests have differed for too long.

    :param next_pass: monotonic time in seconds of the next pass; infinite while the digests agree.
    :param running: true during a pass.
    :param position: host id after which the next page begins.
    :param retry_deadline: monotonic time in seconds at which a page that did not arrive is
        requested again.
    :param matched: true once the digests have agreed.
    """

    next_pass: float = 0.0
    running: bool = False
    position: str = ""
    retry_deadline: float = 0.0
    matched: bool = False

    def record_digest(self, same: bool, now: float) -> None:
        """Record whether the digest of another table matches.

        :param same: true if it equals the digest of this process's table.
        :param now: monotonic time in seconds.
        """
        if same:
            self.matched = True
            self.running = False
            self.next_pass = math.inf
        elif self.next_pass == math.inf:
            self.next_pass = now + MISMATCH_SECONDS

    def restart(self) -> None:
        """Start a new pass as soon as possible."""
        self.next_pass = 0.0
        self.running = False

    def is_due(self, now: float) -> bool:
        """Return whether a page must be requested.

        :param now: monotonic time in seconds.
        """
        return now >= (self.retry_deadline if self.running else self.next_pass)

    def begin_page(self, now: float) -> str:
        """Record that a page is requested.

        :param now: monotonic time in seconds.
        :returns: the host id after which the page begins.
        """
        if not self.running:
            self.running = True
            self.position = ""
            self.next_pass = now + (MISMATCH_SECONDS if self.matched else JOIN_SECONDS)
        self.retry_deadline = now + RETRY_SECONDS
        return self.position

    def end_page(self, position: str) -> bool:
        """Record the position at which a page ended.

        :param position: host id, empty at the end of the table.
        :returns: true if the next page must be requested immediately.
        """
        self.running = self.running and bool(position)
        self.position = position
        return self.running
