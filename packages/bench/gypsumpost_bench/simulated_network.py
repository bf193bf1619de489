"""A simulated network between daemons in one process."""

import random
from collections.abc import Callable

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_failure import PeerFailure
from gypsumpost_daemon.peers.peer_network import PeerHandler
from gypsumpost_daemon.peers.peer_request import PeerRequest

FRAME_BYTES = 22
"""Bytes of a frame's header in front of each payload."""


@attrs.define(kw_only=True)
class SimulatedNetwork:
    """Delivers messages between ports with delay, loss, duplicates and cut links.

    :param seed: seed of losses, duplicates and delays.
    :param delay: seconds of one direction.
    :param jitter: maximum additional seconds of one direction, which can reorder messages.
    :param loss: share of messages that are lost in each direction.
    :param repeats: share of requests that are delivered twice.
    :param is_cut: whether the link between two hosts is cut.
    """

    seed: int = 0
    delay: float = 0.001
    jitter: float = 0.0
    loss: float = 0.0
    repeats: float = 0.0
    is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
    sent_bytes: dict[str, int] = attrs.field(factory=dict)
    handlers: dict[str, dict[int, PeerHandler]] = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(init=False)

    @_rng.default
    def _create_rng(self) -> random.Random:
        return random.Random(self.seed)

    async def request(
        self, sender: str, receiver: str, kind: MessageKind, payload: bytes, deadline: float
    ) -> Result[bytes, PeerFailure]:
        """Deliver a request and return its reply.

        :param sender: host that sends the request.
        :param receiver: host that handles it.
        :param kind: message kind.
        :param payload: encoded message.
        :param deadline: monotonic time in seconds at which the sender stops waiting.
        """
        failure = Err(PeerFailure(host_id=receiver, reason="no reply", sent=True))
        handler = self.handlers.get(receiver, {}).get(kind)
        if handler is None or not await self._transfer(sender, receiver, payload):
            await trio.sleep_until(max(deadline, trio.current_time()))
            return failure
        request = PeerRequest(host_id=sender, payload=payload)
        if self._rng.random() < self.repeats:
            await handler(request)
            await trio.sleep(self._rng.random() * self.jitter)
        reply = await handler(request)
        arrived = await self._transfer(receiver, sender, reply)
        if not arrived or trio.current_time() > deadline:
            await trio.sleep_until(max(deadline, trio.current_time()))
            return failure
        return Ok(reply)

    async def _transfer(self, sender: str, receiver: str, payload: bytes) -> bool:
        size = FRAME_BYTES + len(payload)
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        await trio.sleep(self.delay + self.jitter * self._rng.random())
        return self._rng.random() >= self.loss and not self.is_cut(sender, receiver)


@attrs.frozen(kw_only=True)
class SimulatedPort:
    """The network interface of one daemon.

    :param network: the network.
    :param host_id: the daemon's host.
    """

    network: SimulatedNetwork
    host_id: str

    def add_handler(self, kind: MessageKind, handler: PeerHandler) -> None:
        """Set the handler of requests of one kind."""
        self.network.handlers.setdefault(self.host_id, {})[kind] = handler

    async def request(
        self, host_id: str, kind: MessageKind, payload: bytes, deadline: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request and wait for its reply."""
        return await self.network.request(self.host_id, host_id, kind, payload, deadline)
