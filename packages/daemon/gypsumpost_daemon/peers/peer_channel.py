"""Interface for requests between daemons."""

from typing import Protocol

from result import Result

from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_failure import PeerFailure
from gypsumpost_daemon.peers.peer_network import PeerHandler


class PeerChannel(Protocol):
    """Interface of :class:`~gypsumpost_daemon.peers.peer_network.PeerNetwork` to its users."""

    def add_handler(self, kind: MessageKind, handler: PeerHandler) -> None:
        """Register the handler for requests of one kind."""
        ...

    async def request(
        self, host_id: str, kind: MessageKind, payload: bytes, deadline: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request and wait for its reply until a deadline, in seconds of monotonic time."""
        ...
