"""Progress of a transfer, for those that are ranked by how long it has stood still."""

import attrs

PROGRESS_BYTES = 4096
"""Fewer bytes do not count as progress, so that a trickle does not hold a large body."""


@attrs.define(kw_only=True, eq=False)
class ByteProgress:
    """When a transfer made progress last.

    :param progressed_at: monotonic time in seconds of the latest progress.
    """

    progressed_at: float
    _unrecorded: int = attrs.field(default=0, init=False)

    def record_progress(self, amount: int, now: float) -> None:
        """Note that bytes were received or sent.

        :param amount: number of bytes.
        :param now: monotonic time in seconds.
        """
        self._unrecorded += amount
        if self._unrecorded >= PROGRESS_BYTES:
            self.restart(now)

    def restart(self, now: float) -> None:
        """Count from now.

        :param now: monotonic time in seconds.
        """
        self._unrecorded = 0
        self.progressed_at = now
