"""Asks the coordinator of a group of endpoints for permits."""

import trio
from result import Err

from gypsumpost_core.limits.coordinator_views import CoordinatorViews
from gypsumpost_core.limits.own_parts import OwnParts
from gypsumpost_core.limits.permit_decision import PermitDecision, PermitVerdict
from gypsumpost_core.limits.permit_request import PermitRequest
from gypsumpost_core.limits.request_limits import RequestLimits
from gypsumpost_core.limits.settled_hosts import SettledHosts
from gypsumpost_daemon.limits.permit_codec import (
    decode_permit_reply,
    decode_permit_request,
    encode_permit_reply,
    encode_permit_request,
)
from gypsumpost_daemon.limits.permit_desk import NOT_COORDINATOR, PermitDesk
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.telemetry.log import Log

PERMITS = "permits"
"""Purpose of the coordinators that grant permits."""

TAKEOVER_SECONDS = 0.5
"""A permit is used at once, but hosts learn of a new coordinator at different moments."""

TURN_SECONDS = 0.25
"""How long a coordinator holds a request; so a host notices soon that it has gone silent."""

REPLY_SECONDS = 0.1
"""Several round trips between domains, beyond the time for which a request is held."""

SILENCE_SECONDS = 0.5
"""How long a coordinator that has not replied is not asked again."""

MAX_FAILURES = 2
"""How often a request is offered to a coordinator that does not reply, or to its successor."""

WAITING = PermitDecision(verdict=PermitVerdict.WAITING)

LOG = Log(prefix="limits")


class PermitClient:
    """Takes permits for requests to endpoints that limit the requests of all hosts together.

    One host, chosen for each group of endpoints, grants them to all others. While it cannot be
    reached, each host uses an equal part of the limits.

    :param directory: the known hosts.
    :param peers: sends messages to other daemons.
    :param limits: the limits of endpoints.
    """

    def __init__(
        self, *, directory: HostDirectory, peers: PeerChannel, limits: RequestLimits
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._views = CoordinatorViews(
            own=directory.own,
            purpose=PERMITS,
            takeover_seconds=TAKEOVER_SECONDS,
            now=trio.current_time(),
        )
        self.desk = PermitDesk(views=self._views, limits=limits, own_id=directory.own.host_id)
        self._settled = SettledHosts(own=directory.own, started_at=trio.current_time())
        self._parts = OwnParts()
        self._silent_until: dict[str, float] = {}
        self._leaving = False
        self._changed = trio.Event()
        directory.add_listener(lambda host, live: self._changed.set())
        peers.add_handler(MessageKind.TAKE_PERMIT, self._serve)

    async def run(self) -> None:
        """Grant permits to other hosts until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.desk.run)
            while True:
                self._update_views()
                with trio.move_on_at(self._settled.compute_next_time(trio.current_time())):
                    await self._changed.wait()
                self._changed = trio.Event()

    def wake(self) -> None:
        """Decide about the waiting requests anew, because a limit has changed."""
        self.desk.wake()

    def stop_coordinating(self) -> None:
        """Leave the coordination to other hosts, because this one stops."""
        self._leaving = True
        self._update_views()

    async def acquire(self, request: PermitRequest) -> PermitDecision:
        """Return whether a request may be sent, as soon as that is decided.

        :param request: the request.
        """
        failures = 0
        while True:
            self._update_views()
            coordinator = self._views.find_coordinator(request.group).host_id
            decision = NOT_COORDINATOR
            if coordinator == self._directory.own.host_id:
                decision = await self.desk.grant(coordinator, request)
            elif trio.current_time() >= self._silent_until.get(coordinator, 0.0):
                decision = await self._ask(coordinator, request)
            if decision.verdict is PermitVerdict.WAITING:
                continue
            if decision is not NOT_COORDINATOR:
                return decision
            failures += 1
            now = trio.current_time()
            decision = self._parts.take(request, len(self._directory.list_known()), now)
            ask_at = self._silent_until.get(coordinator, now)
            late = max(ask_at, now) >= request.deadline
            if decision.granted or late or failures >= MAX_FAILURES:
                return decision
            await trio.sleep_until(ask_at)

    async def _ask(self, coordinator: str, request: PermitRequest) -> PermitDecision:
        now = trio.current_time()
        reply = await self._peers.request(
            coordinator,
            MessageKind.TAKE_PERMIT,
            encode_permit_request(request, now),
            min(max(now, request.deadline), now + TURN_SECONDS) + REPLY_SECONDS,
        )
        now = trio.current_time()
        if isinstance(reply, Err):
            decision, reason = NOT_COORDINATOR, reply.err_value.reason
        else:
            decoded = decode_permit_reply(reply.ok_value, now)
            decision = NOT_COORDINATOR if isinstance(decoded, Err) else decoded.ok_value
            reason = decoded.err_value if isinstance(decoded, Err) else decision.verdict.value
        if decision.verdict is NOT_COORDINATOR.verdict:
            LOG.write(
                "uses an own part of the limits for a while",
                group=request.group,
                coordinator=coordinator,
                reason=reason,
            )
            self._silent_until[coordinator] = now + SILENCE_SECONDS
            return NOT_COORDINATOR
        self._silent_until.pop(coordinator, None)
        self._parts.clear(request.group)
        return decision

    async def _serve(self, request: PeerRequest) -> bytes:
        decoded = decode_permit_request(request.payload, trio.current_time())
        if isinstance(decoded, Err):
            LOG.write(
                "ignored an unreadable message", peer=request.host_id, reason=decoded.err_value
            )
            return encode_permit_reply(NOT_COORDINATOR, trio.current_time())
        self._settled.confirm(trio.current_time())
        self._update_views()
        decision = WAITING
        with trio.move_on_after(TURN_SECONDS):
            decision = await self.desk.grant(request.host_id, decoded.ok_value)
        return encode_permit_reply(decision, trio.current_time())

    def _update_views(self) -> None:
        live, own, now = self._directory.list_live(), self._directory.own, trio.current_time()
        candidates = self._settled.select(live, now)
        if self._leaving:
            candidates = [host for host in candidates if host != own] or candidates
        self._views.update(live, self._directory.list_known(), now, candidates=candidates)
