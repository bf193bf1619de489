"""One connection of a caller, as seen by the bound on all of them."""

import attrs

from gypsumpost_core.memory.byte_progress import ByteProgress
from gypsumpost_core.memory.connection_stage import ConnectionStage


@attrs.define(kw_only=True, eq=False)
class ConnectionEntry(ByteProgress):
    """Stage of a connection; the beginning of a stage counts as progress.

    :param stage: the stage.
    """

    stage: ConnectionStage = ConnectionStage.NEW

    def enter(self, stage: ConnectionStage, now: float) -> None:
        """Change the stage.

        :param stage: the new stage.
        :param now: monotonic time in seconds.
        """
        self.stage = stage
        self.restart(now)
