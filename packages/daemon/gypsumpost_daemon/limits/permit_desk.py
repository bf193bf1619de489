"""Grants permits for the groups of endpoints that this host coordinates."""

import itertools
import math
from collections.abc import Callable

import attrs
import trio

from gypsumpost_core.limits.coordinator_views import CoordinatorViews
from gypsumpost_core.limits.permit_decision import PermitDecision, PermitVerdict
from gypsumpost_core.limits.permit_queue import PermitQueue, PermitTicket
from gypsumpost_core.limits.permit_request import PermitRequest
from gypsumpost_core.limits.permit_supply import PermitSupply
from gypsumpost_core.limits.request_limits import RequestLimits
from gypsumpost_core.limits.settled_hosts import SETTLE_SECONDS
from gypsumpost_daemon.limits.permit_usage import PermitUsage
from gypsumpost_daemon.telemetry.log import Log

REPORT_SECONDS = 1.0
"""Interval between two lines about the use of the limits of a group."""

IDLE_SECONDS = 30.0
"""Time after which a group without requests is forgotten."""

LOG = Log(prefix="limits")
CreateSupply = Callable[[str], PermitSupply]
NOT_COORDINATOR = PermitDecision(verdict=PermitVerdict.NOT_COORDINATOR)


@attrs.define(kw_only=True)
class PermitGroup:
    """A group of endpoints with its queue.

    :param queue: the waiting requests of all hosts.
    :param used_until: monotonic time in seconds at which it is forgotten if no request comes.
    :param has_supply: true if it shares an amount that is no limit of an endpoint.
    :param usage: the decisions since the last line in the log.
    :param last_usage: those between the last two lines.
    :param replies: where the decisions of the waiting requests go, by number.
    """

    queue: PermitQueue
    used_until: float
    has_supply: bool = False
    usage: PermitUsage = attrs.field(factory=PermitUsage)
    last_usage: PermitUsage = attrs.field(factory=PermitUsage)
    replies: dict[int, trio.MemorySendChannel[PermitDecision]] = attrs.field(factory=dict)


class PermitDesk:
    """Answers requests for permits, of this host and of others.

    :param views: selects the coordinator of each group.
    :param limits: the limits of endpoints.
    :param own_id: this host.
    """

    def __init__(self, *, views: CoordinatorViews, limits: RequestLimits, own_id: str) -> None:
        self._views = views
        self._limits = limits
        self._own_id = own_id
        # A host that knows no other one yet takes itself for the coordinator.
        self._opens_at = trio.current_time() + SETTLE_SECONDS
        self._groups: dict[str, PermitGroup] = {}
        self._create_supplies: dict[str, CreateSupply] = {}
        self._numbers = itertools.count(1)
        self._changed = trio.Event()

    def add_supply(self, prefix: str, create: CreateSupply) -> None:
        """Register an amount that is shared like a limit.

        :param prefix: beginning of the names of its groups.
        :param create: returns the amount of a group by the rest of its name.
        """
        self._create_supplies[prefix] = create

    async def grant(self, host_id: str, request: PermitRequest) -> PermitDecision:
        """Return the decision about a request, once it is due.

        :param host_id: the host that asks.
        :param request: the request.
        """
        now = trio.current_time()
        if self._views.find_coordinator(request.group).host_id != self._own_id:
            return NOT_COORDINATOR
        for limit in request.limits:
            self._limits.merge(limit, host_id, now)
        group = self._find_group(request.group, now)
        if not request.limits and not group.has_supply:
            return PermitDecision(verdict=PermitVerdict.REFUSED, opens_at=now)
        ticket = PermitTicket(number=next(self._numbers), request=request)
        sender, receiver = trio.open_memory_channel[PermitDecision](1)
        group.replies[ticket.number] = sender
        try:
            self._update_rates(group, tuple(limit.key for limit in request.limits), now)
            self._publish(group, group.queue.offer(ticket, now))
            self._changed.set()
            decision = await receiver.receive()
        finally:
            group.replies.pop(ticket.number, None)
            group.queue.withdraw(ticket.number)
        if decision.granted:
            group.usage.granted[decision.key, host_id] += 1
        else:
            group.usage.refused[host_id] += 1
        return decision

    async def run(self) -> None:
        """Answer waiting requests when their time comes, until cancelled."""
        report_at = trio.current_time() + REPORT_SECONDS
        while True:
            now = trio.current_time()
            if now >= report_at:
                self._report()
                report_at = now + REPORT_SECONDS
            self._drop_groups(now)
            for group in self._groups.values():
                self._update_rates(group, tuple(group.queue.list_limited()), now)
                self._publish(group, group.queue.advance(now))
            with trio.move_on_at(self._compute_wake_time(now, report_at)):
                await self._changed.wait()
            self._changed = trio.Event()

    def wake(self) -> None:
        """Decide about the waiting requests anew, because a limit has changed."""
        self._changed.set()

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a permit of this host."""
        return sum(group.queue.count_waiting() for group in self._groups.values())

    def read_usage(self) -> dict[tuple[str, ...], float]:
        """Return the permits of the last ``REPORT_SECONDS`` by endpoint and host."""
        usages = [group.last_usage.granted for group in self._groups.values()]
        return {pair: float(count) for usage in usages for pair, count in usage.items()}

    def _find_group(self, name: str, now: float) -> PermitGroup:
        group = self._groups.get(name)
        if group is None:
            closed_until = max(self._opens_at, self._views.find_takeover_end(name))
            queue = PermitQueue(closed_until=closed_until)
            group = self._groups[name] = PermitGroup(queue=queue, used_until=now)
            for prefix, create in self._create_supplies.items():
                if name.startswith(prefix):
                    queue.set_supply(name, create(name.removeprefix(prefix)))
                    group.has_supply = True
            LOG.write("coordinates the limits of a group", group=name)
        group.used_until = now + IDLE_SECONDS
        return group

    def _update_rates(self, group: PermitGroup, keys: tuple[str, ...], now: float) -> None:
        fraction = self._views.get_usable_fraction()
        for key in keys:
            limit = self._limits.get(key)
            group.queue.set_limit(key, None if limit is None else limit * fraction, now)

    def _publish(self, group: PermitGroup, decisions: dict[int, PermitDecision]) -> None:
        for number, decision in decisions.items():
            # The first decision holds, even if its receiver has not run yet.
            reply = group.replies.pop(number, None)
            if reply is not None:
                reply.send_nowait(decision)

    def _drop_groups(self, now: float) -> None:
        for name, group in list(self._groups.items()):
            if self._views.find_coordinator(name).host_id != self._own_id:
                LOG.write("does not coordinate the limits of a group any more", group=name)
                self._publish(group, dict.fromkeys(group.replies, NOT_COORDINATOR))
                del self._groups[name]
            elif now >= group.used_until and not group.queue.count_waiting():
                del self._groups[name]

    def _compute_wake_time(self, now: float, report_at: float) -> float:
        if not self._groups:
            return math.inf
        times = [group.queue.compute_next_time(now) for group in self._groups.values()]
        return min(report_at, *times)

    def _report(self) -> None:
        for name, group in self._groups.items():
            group.last_usage, group.usage = group.usage, PermitUsage()
            if group.last_usage.is_empty():
                continue
            LOG.write(
                "used limits",
                group=name,
                limits=group.queue.list_limited(),
                granted=group.last_usage.describe_granted(),
                refused=dict(group.last_usage.refused),
                waiting=group.queue.count_waiting(),
            )
