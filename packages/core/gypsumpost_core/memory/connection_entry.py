"""One connection of a caller, as seen by the bound on all of them."""

import attrs

from gypsumpost_core.memory.connection_stage import ConnectionStage


@attrs.define(kw_only=True, eq=False)
class ConnectionEntry:
    """Stage of a connection.

    :param since: monotonic time in seconds at which the stage began.
    :param stage: the stage.
    """

    since: float
    stage: ConnectionStage = ConnectionStage.NEW

    def enter(self, stage: ConnectionStage, now: float) -> None:
        """Change the stage.

        :param stage: the new stage.
        :param now: monotonic time in seconds.
        """
        self.stage = stage
        self.since = now
