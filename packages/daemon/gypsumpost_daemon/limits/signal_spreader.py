"""Tells the other daemons what endpoints have said about themselves."""

from collections.abc import Callable

import trio
from result import Err

from gypsumpost_core.limits.request_limits import TELL_SECONDS, RequestLimits
from gypsumpost_daemon.limits.signal_codec import decode_signals, encode_signals
from gypsumpost_daemon.limits.signal_message import SignalMessage
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.telemetry.log import Log

PAUSE_SECONDS = 0.1
"""Shortest time between two messages to a daemon; a limit may change with each answer."""

SEND_SECONDS = 0.5
"""Timeout of one message."""

LOG = Log(prefix="endpoint")


class SignalSpreader:
    """Sends limits and the names of leaving endpoints to all live daemons after each change.

    A daemon that misses a message learns it from the endpoint, and a limit from the coordinator
    when it asks for a permit.

    :param limits: the limits.
    :param directory: the known hosts.
    :param peers: sends messages to other daemons.
    :param mark_leaving: marks an endpoint as leaving, and returns true if that was not known.
    :param handle_limits: called when a peer has told a change of a limit; must not block.
    """

    def __init__(
        self,
        *,
        limits: RequestLimits,
        directory: HostDirectory,
        peers: PeerChannel,
        mark_leaving: Callable[[str], bool],
        handle_limits: Callable[[], None],
    ) -> None:
        self._limits = limits
        self._directory = directory
        self._peers = peers
        self._mark_leaving = mark_leaving
        self._handle_limits = handle_limits
        self._leaving_until: dict[str, float] = {}
        self._changed = trio.Event()
        peers.add_handler(MessageKind.ENDPOINT_SIGNALS, self._serve)

    def wake(self) -> None:
        """Send the limits soon, because one has changed."""
        self._changed.set()

    def tell_leaving(self, name: str) -> None:
        """Send the name of an endpoint that leaves.

        :param name: the endpoint.
        """
        self._leaving_until[name] = trio.current_time() + TELL_SECONDS
        self._changed.set()

    async def run(self) -> None:
        """Send what is new until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._changed.wait()
                self._changed = trio.Event()
                payload = encode_signals(self._create_message(trio.current_time()))
                for peer in self._directory.list_peers():
                    nursery.start_soon(self._send, peer.host_id, payload)
                await trio.sleep(PAUSE_SECONDS)

    def _create_message(self, now: float) -> SignalMessage:
        self._leaving_until = {name: at for name, at in self._leaving_until.items() if now < at}
        return SignalMessage(
            limits=tuple(self._limits.list_told(now)), leaving=tuple(self._leaving_until)
        )

    async def _send(self, host_id: str, payload: bytes) -> None:
        deadline = trio.current_time() + SEND_SECONDS
        reply = await self._peers.request(host_id, MessageKind.ENDPOINT_SIGNALS, payload, deadline)
        if isinstance(reply, Err):
            reason = reply.err_value.reason
            LOG.write("could not tell what endpoints say", peer=host_id, reason=reason)

    async def _serve(self, request: PeerRequest) -> bytes:
        decoded = decode_signals(request.payload)
        if isinstance(decoded, Err):
            LOG.write(
                "ignored an unreadable message", peer=request.host_id, reason=decoded.err_value
            )
            return b""
        now = trio.current_time()
        message = decoded.ok_value
        for limit in message.limits:
            if self._limits.merge(limit, request.host_id, now):
                LOG.write(
                    "learned a limit from a peer",
                    process=limit.key,
                    per_second=limit.per_second,
                    source=request.host_id,
                )
                self._handle_limits()
        for name in message.leaving:
            if self._mark_leaving(name):
                LOG.write(
                    "learned from a peer that an endpoint leaves",
                    endpoint=name,
                    source=request.host_id,
                )
        return b""
