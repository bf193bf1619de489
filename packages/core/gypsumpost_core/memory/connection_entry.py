"""One connection of a caller, as seen by the bound on all of them."""

import attrs

from gypsumpost_core.memory.connection_stage import ConnectionStage
from gypsumpost_core.memory.memory_holder import PROGRESS_BYTES


@attrs.define(kw_only=True, eq=False)
class ConnectionEntry:
    """Stage of a connection.

    :param since: monotonic time in seconds at which the stage began or last made progress.
    :param stage: the stage.
    """

    since: float
    stage: ConnectionStage = ConnectionStage.NEW
    _unrecorded: int = attrs.field(default=0, init=False)

    def enter(self, stage: ConnectionStage, now: float) -> None:
        """Change the stage.

        :param stage: the new stage.
        :param now: monotonic time in seconds.
        """
        self.stage = stage
        self.since = now
        self._unrecorded = 0

    def record_progress(self, amount: int, now: float) -> None:
        """Note that bytes of a request were received.

        :param amount: number of bytes.
        :param now: monotonic time in seconds.
        """
        self._unrecorded += amount
        if self._unrecorded >= PROGRESS_BYTES:
            self._unrecorded = 0
            self.since = now
