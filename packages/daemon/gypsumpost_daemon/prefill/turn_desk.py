"""Shares the prefill time of engines between hosts."""

import trio
from result import Err

from gypsumpost_core.host import Host
from gypsumpost_core.prefill.prefill_turns import PrefillTurn, PrefillTurns
from gypsumpost_core.rendezvous import rank_hosts
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.prefill.turn_codec import (
    decode_turn_reply,
    decode_turn_request,
    encode_turn_reply,
    encode_turn_request,
)
from gypsumpost_daemon.prefill.turn_request import TurnRequest
from gypsumpost_daemon.telemetry.log import Log

REPLY_SECONDS = 0.25
"""Time for a new connection and for a small host that is busy; the prompt waits meanwhile."""

SILENCE_SECONDS = 0.5
"""How long a coordinator that has not replied is not asked again."""

PURPOSE = "prefill/"
"""Beginning of the keys by which coordinators are ranked."""

LOG = Log(prefix="prefill")


class TurnDesk:
    """Takes prefill time of engines, and grants that of the engines that this host coordinates.

    One live host of a domain coordinates the engines there. The state is in its memory only: after
    its loss, or while it does not reply, hosts go by the usage that they report.

    :param directory: the known hosts.
    :param peers: sends messages to other daemons.
    """

    def __init__(self, *, directory: HostDirectory, peers: PeerChannel) -> None:
        self._directory = directory
        self._peers = peers
        self._turns = PrefillTurns()
        self._coordinators: dict[str, str] = {}
        self._silent_until: dict[str, float] = {}
        directory.add_listener(self._forget_coordinators)
        peers.add_handler(MessageKind.PREFILL_TURN, self._serve)

    async def take(self, request: TurnRequest, failure_domain: str) -> PrefillTurn:
        """Return whether a prompt may be sent now.

        :param request: the request.
        :param failure_domain: failure domain of the engine.
        """
        now = trio.current_time()
        coordinator = self._find_coordinator(failure_domain)
        if coordinator == self._directory.own.host_id:
            return self._grant(request)
        if now < self._silent_until.get(coordinator, now):
            return PrefillTurn(granted=True, opens_at=now)
        reply = await self._peers.request(
            coordinator,
            MessageKind.PREFILL_TURN,
            encode_turn_request(request),
            now + REPLY_SECONDS,
        )
        now = trio.current_time()
        if isinstance(reply, Err):
            return self._go_on_alone(coordinator, reply.err_value.reason)
        decoded = decode_turn_reply(reply.ok_value, now)
        if isinstance(decoded, Err):
            return self._go_on_alone(coordinator, decoded.err_value)
        return decoded.ok_value

    def _go_on_alone(self, coordinator: str, reason: str) -> PrefillTurn:
        now = trio.current_time()
        self._silent_until[coordinator] = now + SILENCE_SECONDS
        LOG.write("goes on without a coordinator", coordinator=coordinator, reason=reason)
        return PrefillTurn(granted=True, opens_at=now)

    def _grant(self, request: TurnRequest) -> PrefillTurn:
        return self._turns.take(request.engine, request.seconds, trio.current_time())

    async def _serve(self, request: PeerRequest) -> bytes:
        decoded = decode_turn_request(request.payload)
        now = trio.current_time()
        if isinstance(decoded, Err):
            LOG.write(
                "ignored an unreadable message", peer=request.host_id, reason=decoded.err_value
            )
            return encode_turn_reply(PrefillTurn(granted=True, opens_at=now), now)
        return encode_turn_reply(self._grant(decoded.ok_value), now)

    def _find_coordinator(self, failure_domain: str) -> str:
        coordinator = self._coordinators.get(failure_domain)
        if coordinator is None:
            live = self._directory.list_live()
            near = [host for host in live if host.failure_domain == failure_domain]
            coordinator = rank_hosts(PURPOSE + failure_domain, near or live)[0].host_id
            self._coordinators[failure_domain] = coordinator
        return coordinator

    def _forget_coordinators(self, _host: Host, _live: bool) -> None:
        self._coordinators.clear()
