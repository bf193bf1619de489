"""Handle of a running HTTP server."""

import attrs
import trio

STOP_SECONDS = 30.0


@attrs.define(kw_only=True)
class RunningServer:
    """What a server reports through ``task_status`` once it listens.

    :param address: the address it listens on, with the port that the system chose for port 0.
    :param ended: set when all connections are closed after a stop.
    """

    address: str
    stop_requested: trio.Event = attrs.field(factory=trio.Event)
    drain_requested: trio.Event = attrs.field(factory=trio.Event)
    stop_deadline: float = float("inf")
    ended: trio.Event = attrs.field(factory=trio.Event)

    def drain(self) -> None:
        """Keep accepting connections, but close each one after its current or first request."""
        self.drain_requested.set()

    def stop(self, deadline: float | None = None) -> None:
        """Stop accepting connections; requests in progress may finish until a deadline.

        :param deadline: monotonic time in seconds; :data:`STOP_SECONDS` from now if not given.
        """
        default_deadline = trio.current_time() + STOP_SECONDS
        self.stop_deadline = default_deadline if deadline is None else deadline
        self.stop_requested.set()
