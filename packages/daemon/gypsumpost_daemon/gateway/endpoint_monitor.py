"""Detects lost endpoints and notifies the requests and components that use them."""

import random
from collections.abc import Awaitable, Callable

import trio
from result import Err

from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_daemon.engines.endpoint_probe import ProbeResult, probe_endpoint
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.endpoint_identifier import EndpointIdentifier
from gypsumpost_daemon.gateway.engine_probes import EngineProbes
from gypsumpost_daemon.gateway.shared_probe import SharedProbe
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.telemetry.log import Log

RETURN_PROBE_SECONDS = 0.3
"""Interval between probes of a lost endpoint."""

PROBING_HOSTS = 1
"""Hosts of a domain that probe a lost endpoint in each interval, on average; the others receive
the result from them, and those of other domains probe as soon as they hear of it."""

BRIEF_LOSS_SECONDS = 3.0
"""An endpoint that is lost for longer is probed less often, in proportion to the time, so that a
return is found within a fraction of the loss that precedes it."""

STORE_ENTRY_SECONDS = 0.5
"""How long to wait for the store entry of a new endpoint before the store is read."""

LOG = Log(prefix="endpoint")
Refresh = Callable[[], Awaitable[None]]
Listener = Callable[[EndpointRecord], None]
Probe = Callable[[EndpointRecord], Awaitable[ProbeResult]]


class EndpointMonitor:
    """Probes endpoints that are suspected or lost.

    :param directory: the endpoints.
    :param identifier: identifies the endpoint at an address.
    :param engine_probes: checks engines that are silent but probably alive.
    :param refresh: reads the endpoints from the store again.
    :param count_hosts: returns the number of hosts of the domain, which share the probes.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        identifier: EndpointIdentifier,
        engine_probes: EngineProbes,
        refresh: Refresh,
        count_hosts: Callable[[], int],
    ) -> None:
        self._directory = directory
        self._identifier = identifier
        self._engine_probes = engine_probes
        self._refresh = refresh
        self._probing: set[str] = set()
        # Ordered, so that a run does not depend on memory addresses.
        self._scopes: dict[str, dict[trio.CancelScope, None]] = {}
        self._count_hosts = count_hosts
        self._loss_listeners: list[Listener] = []
        self._return_listeners: list[Listener] = []
        self._checks: dict[str, SharedProbe] = {}
        self._lost_since: dict[EndpointRecord, float] = {}
        self._nursery: trio.Nursery | None = None

    def add_loss_listener(self, listener: Listener) -> None:
        """Register a function to call at each loss that this host detects.

        :param listener: called with the endpoint; must not block.
        """
        self._loss_listeners.append(listener)

    def add_return_listener(self, listener: Listener) -> None:
        """Register a function to call when this host detects that a lost endpoint is alive again.

        :param listener: called with the endpoint; must not block.
        """
        self._return_listeners.append(listener)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Probe lost endpoints at intervals, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(RETURN_PROBE_SECONDS)
                self._engine_probes.close_expired()
                for record in self._draw_probes(trio.current_time()):
                    nursery.start_soon(self._probe_lost, record)

    def _draw_probes(self, now: float) -> list[EndpointRecord]:
        """Return the lost endpoints that this host probes in this interval."""
        lost = [state.record for state in self._directory.fleet if state.lost]
        self._lost_since = {record: self._lost_since.get(record, now) for record in lost}
        share = PROBING_HOSTS / max(1, self._count_hosts())
        return [
            record
            for record, since in self._lost_since.items()
            if random.random() < share * compute_pace(now - since)
        ]

    def is_in_use(self, state: EndpointState) -> bool:
        """Return true if requests of this host run at an endpoint.

        :param state: the endpoint.
        """
        return state.pending > 0 or state.record.endpoint_id in self._scopes

    def watch(self, endpoint_id: str, scope: trio.CancelScope) -> None:
        """Cancel a scope when the endpoint is lost, until :meth:`unwatch`."""
        self._scopes.setdefault(endpoint_id, {})[scope] = None

    def unwatch(self, endpoint_id: str, scope: trio.CancelScope) -> None:
        """Undo :meth:`watch` for a scope."""
        scopes = self._scopes.get(endpoint_id)
        if scopes is not None:
            scopes.pop(scope, None)
            if not scopes:
                del self._scopes[endpoint_id]

    async def check_silent(self, record: EndpointRecord) -> bool:
        """Check an engine that sends no events, and return whether it is known to be alive.

        :param record: the engine.
        """
        return await self.check(record, "a stream is silent", self._engine_probes.probe)

    async def check(self, record: EndpointRecord, reason: str, probe: Probe | None = None) -> bool:
        """Probe an endpoint now and return whether it is known to be alive.

        Streams of one engine often call this at the same moment and then share one probe.

        :param record: the endpoint.
        :param reason: why it is suspected.
        :param probe: how to probe it, ``None`` to connect.
        """
        outcome: ProbeResult | None = None
        while outcome is None:
            running = self._checks.get(record.endpoint_id)
            if running is None:
                outcome = await self._probe(record, reason, probe or connect_to)
            else:
                await running.ended.wait()
                outcome = running.outcome
        state = self._directory.fleet.find(record.endpoint_id)
        alive = state is not None and not state.lost and state.record == record
        return alive and outcome is not ProbeResult.NOT_TRIED

    async def _probe(self, record: EndpointRecord, reason: str, probe: Probe) -> ProbeResult:
        running = self._checks[record.endpoint_id] = SharedProbe()
        try:
            outcome = running.outcome = await probe(record)
            if outcome is ProbeResult.ALIVE:
                self._directory.fleet.mark_alive(record.endpoint_id, trio.current_time())
            elif outcome is ProbeResult.NOT_TRIED:
                LOG.write("cannot probe an endpoint", endpoint=record.endpoint_id)
            else:
                refused = outcome is ProbeResult.REFUSED
                self.mark_lost(record, f"{reason}, probe {outcome.value}", refused=refused)
            return outcome
        finally:
            del self._checks[record.endpoint_id]
            running.ended.set()

    def probe_in_background(self, record: EndpointRecord) -> None:
        """Probe a lost endpoint in the background because its address may answer again.

        :param record: the endpoint.
        """
        if self._nursery is not None:
            self._nursery.start_soon(self._probe_lost, record)

    def suspect(
        self,
        record: EndpointRecord,
        reason: str,
        handle_loss: Callable[[], None] | None = None,
    ) -> None:
        """Probe an endpoint in the background.

        :param record: the endpoint.
        :param reason: why it is suspected.
        :param handle_loss: called if the endpoint is lost, replaced or removed; must not block.
        """

        async def check() -> None:
            with contain_errors(LOG, "a check", endpoint=record.endpoint_id):
                if not await self.check(record, reason) and handle_loss is not None:
                    handle_loss()

        if self._nursery is not None:
            self._nursery.start_soon(check)

    def mark_lost(
        self, record: EndpointRecord, reason: str, *, refused: bool = False, adopted: bool = False
    ) -> None:
        """Mark an endpoint as lost and cancel the scopes that watch it.

        :param record: the endpoint as it was known when it was used.
        :param reason: the evidence.
        :param refused: true if its address refuses connections.
        :param adopted: true if only peers have observed the loss.
        """
        fleet, now = self._directory.fleet, trio.current_time()
        if not fleet.mark_lost(
            record.endpoint_id, record.started_at, now, refused=refused, adopted=adopted
        ):
            return
        LOG.write(
            "lost an endpoint",
            endpoint=record.endpoint_id,
            address=record.address,
            failure_domain=record.failure_domain,
            reason=reason,
            streams=len(self._scopes.get(record.endpoint_id, ())),
        )
        for scope in list(self._scopes.get(record.endpoint_id, ())):
            scope.cancel()
        for listener in self._loss_listeners:
            listener(record)

    def mark_replaced(self, record: EndpointRecord) -> None:
        """Mark an endpoint as replaced because another one has answered at its address.

        :param record: the endpoint that was expected.
        """
        LOG.write(
            "another endpoint answers at the address",
            endpoint=record.endpoint_id,
            address=record.address,
        )
        self._directory.fleet.mark_replaced(record)
        self.probe_in_background(record)

    async def _probe_lost(self, record: EndpointRecord) -> None:
        if record.endpoint_id in self._probing:
            return
        self._probing.add(record.endpoint_id)
        try:
            with contain_errors(LOG, "a probe", endpoint=record.endpoint_id):
                if await probe_endpoint(record.address, tries=1) is ProbeResult.ALIVE:
                    await self._identify(record)
        finally:
            self._probing.discard(record.endpoint_id)

    async def _identify(self, record: EndpointRecord) -> None:
        routes = self._directory.routes
        service = routes.find_service(record.service) if routes else None
        if service is None:
            return
        identified = await self._identifier.is_same(record, service)
        if isinstance(identified, Err):
            LOG.write(
                "cannot identify an endpoint",
                endpoint=record.endpoint_id,
                reason=identified.err_value,
            )
            return
        if not identified.ok_value:
            await self._wait_for_successor(record)
            return
        state = self._directory.fleet.find(record.endpoint_id)
        if state is not None and state.record == record:
            self.mark_returned(record, "identified")

    def mark_returned(self, record: EndpointRecord, reason: str) -> None:
        """Clear the loss of an endpoint.

        :param record: the endpoint.
        :param reason: the evidence.
        """
        LOG.write("a lost endpoint is alive again", endpoint=record.endpoint_id, reason=reason)
        self._directory.fleet.mark_alive(record.endpoint_id, trio.current_time())
        self._directory.notify_change()
        for listener in self._return_listeners:
            listener(record)

    async def _wait_for_successor(self, record: EndpointRecord) -> None:
        """Give up a replaced endpoint, and read the store if the other one stays unknown."""
        fleet = self._directory.fleet
        fleet.mark_replaced(record)
        # An endpoint writes its entry soon after its start, unless the store is unavailable.
        await trio.sleep(STORE_ENTRY_SECONDS)
        if all(state.record.address != record.address for state in fleet):
            await self._refresh()


async def connect_to(record: EndpointRecord) -> ProbeResult:
    """Probe an endpoint by connecting to it.

    :param record: the endpoint.
    """
    return await probe_endpoint(record.address)


def compute_pace(lost_seconds: float) -> float:
    """Return the share of the intervals in which a lost endpoint is probed, from 0 to 1.

    :param lost_seconds: how long it has been lost.
    """
    return BRIEF_LOSS_SECONDS / max(BRIEF_LOSS_SECONDS, lost_seconds)
