"""Interface to the messages between daemons."""

from typing import Protocol

from result import Result

from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_failure import PeerFailure
from gypsumpost_daemon.peers.peer_network import PeerHandler


class PeerChannel(Protocol):
    """What :class:`~gypsumpost_daemon.peers.peer_network.PeerNetwork` offers to the other parts."""

    def add_handler(self, kind: MessageKind, handler: PeerHandler) -> None:
        """Answer requests of one kind."""
        ...

    async def request(
        self, host_id: str, kind: MessageKind, payload: bytes, deadline: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request and wait for its reply until a deadline in process time."""
        ...
