"""Sends orders to the engines of this host's failure domain."""

from collections.abc import Callable, Mapping

import attrs
import trio
from result import Err, Ok

from gypsumpost_core.placement.engine_order import EngineOrder
from gypsumpost_core.placement.engine_report import EngineReport
from gypsumpost_core.placement.lease_step import LeaseAction
from gypsumpost_core.placement.order_lease import OrderLease
from gypsumpost_core.placement.order_planner import OrderPlanner
from gypsumpost_core.placement.placement_policies import PLACEMENT
from gypsumpost_core.placement.placement_policy import DesiredState, PlacementPolicy
from gypsumpost_core.placement.placement_settings import PlacementSettings
from gypsumpost_core.placement.placement_snapshot import PlacementSnapshot
from gypsumpost_core.rendezvous import rank_hosts
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.engines.engine_prober import parse_load
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.placement.order_lease_store import OrderLeaseStore
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="orders")

ROUND_SECONDS = 1.0
"""Interval between placement rounds."""

REPORT_SECONDS = 1.0
ORDER_SECONDS = 3.0
MAX_WAIT_SECONDS = 1.0
"""Longest wait between lease decisions, as membership may change the rank of this host."""

REVOKE_SECONDS = 1.0


@attrs.define(kw_only=True)
class PlacementTask:
    """Acquires the domain's lease, and sends orders to the engines while this host holds it.

    :param directory: the known hosts.
    :param lease: state machine of the lease.
    :param lease_store: makes the store calls of the lease.
    :param engines: client for calls to engines.
    :param list_endpoints: returns all known endpoints.
    :param list_allowed: returns the references that some plan permits.
    :param read_demand: returns the demand for each reference.
    :param policy: name of a policy in the registry ``placement``.
    :param settings: settings of placement and orders.
    """

    directory: HostDirectory
    lease: OrderLease
    lease_store: OrderLeaseStore
    engines: EngineClient
    list_endpoints: Callable[[], list[Endpoint]]
    list_allowed: Callable[[], frozenset[ModelRef]]
    read_demand: Callable[[], Mapping[ModelRef, float]]
    policy: str = "demand"
    settings: PlacementSettings = attrs.field(factory=PlacementSettings)
    _token: int = attrs.field(default=0, init=False)
    _planner: OrderPlanner | None = attrs.field(default=None, init=False)
    _placement: PlacementPolicy | None = attrs.field(default=None, init=False)

    async def run(self) -> None:
        """Run until cancelled, then revoke the lease."""
        self.lease_store.follow_era(self.lease)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._keep_lease)
                nursery.start_soon(self._order_engines)
        finally:
            await self._revoke()

    async def _keep_lease(self) -> None:
        while True:
            now = trio.current_time()
            step = self.lease.decide(self._find_rank(), now)
            if step.action is LeaseAction.WAIT:
                await trio.sleep_until(min(step.at, now + MAX_WAIT_SECONDS))
            else:
                await self.lease_store.run_step(self.lease, step)

    def _find_rank(self) -> int:
        own = self.directory.own
        domain = own.failure_domain
        members = [host for host in self.directory.list_live() if host.failure_domain == domain]
        ranked = [host.host_id for host in rank_hosts(f"orders/{domain}", members)]
        # A host that is not live in the membership, for example one that is stopping, must not
        # acquire the lease.
        is_live = own.host_id in ranked
        return ranked.index(own.host_id) if is_live else self.lease.settings.candidates

    async def _order_engines(self) -> None:
        while True:
            await trio.sleep(ROUND_SECONDS)
            if self.lease.may_send(trio.current_time()):
                await self._run_round()

    async def _run_round(self) -> None:
        endpoints = self._list_engines()
        snapshot = PlacementSnapshot(
            engines=await self._read_reports(endpoints),
            allowed=self.list_allowed(),
            demand=self.read_demand(),
        )
        now = trio.current_time()
        if not self.lease.may_send(now):
            return
        placement, planner = self._begin_term(now)
        desired = placement.compute_desired(snapshot, now)
        order = planner.choose_order(desired, snapshot, now)
        if order is not None:
            await self._send(order, endpoints[order.engine], planner, desired, snapshot)

    def _begin_term(self, now: float) -> tuple[PlacementPolicy, OrderPlanner]:
        # Decisions from a former term of this host may be outdated, so each term starts without
        # state.
        if self._placement is None or self._planner is None or self._token != self._read_token():
            self._token = self._read_token()
            self._placement = PLACEMENT.create(self.policy, settings=self.settings)
            self._planner = OrderPlanner(settings=self.settings, started_at=now)
            LOG.write("acquired the lease", fencing_token=self._token)
        return self._placement, self._planner

    def _read_token(self) -> int:
        return self.lease.fencing_token

    def _list_engines(self) -> dict[str, Endpoint]:
        domain = self.directory.own.failure_domain
        return {
            endpoint.name: endpoint
            for endpoint in self.list_endpoints()
            if endpoint.kind is EndpointKind.ENGINE and endpoint.failure_domain == domain
        }

    async def _read_reports(self, endpoints: Mapping[str, Endpoint]) -> tuple[EngineReport, ...]:
        reports: list[EngineReport] = []

        async def read_report(endpoint: Endpoint) -> None:
            report = await self._read_report(endpoint)
            if report is not None:
                reports.append(report)

        async with trio.open_nursery() as nursery:
            for endpoint in endpoints.values():
                nursery.start_soon(read_report, endpoint)
        return tuple(reports)

    async def _read_report(self, endpoint: Endpoint) -> EngineReport | None:
        deadline = trio.current_time() + REPORT_SECONDS
        outcome = await self.engines.get_json(endpoint.address, "/load", deadline)
        load = parse_load(outcome.ok_value) if isinstance(outcome, Ok) else None
        if load is None:
            return None
        return EngineReport(
            name=endpoint.name,
            boot_id=load.boot_id,
            models=frozenset(load.models),
            model_slots=load.model_slots or max(1, len(load.models)),
            load=load.running + load.waiting,
            leaving=load.draining or endpoint.status is EndpointStatus.LEAVING,
            checks_fencing=endpoint.checks_fencing,
        )

    async def _send(
        self,
        order: EngineOrder,
        endpoint: Endpoint,
        planner: OrderPlanner,
        desired: DesiredState,
        snapshot: PlacementSnapshot,
    ) -> None:
        token = self._token
        body = {
            "fencing_token": token,
            "action": order.action.value,
            "model": order.ref.model,
            "version": order.ref.version,
            "adapter": order.ref.adapter,
        }
        planner.record_sent(order, desired, snapshot, trio.current_time())
        LOG.write(f"sends {order.action.value}", engine=order.engine, **body)
        now = trio.current_time()
        if not self.lease.may_send(now):
            LOG.write(
                "order not sent, the lease has expired", engine=order.engine, fencing_token=token
            )
            return
        deadline = min(now + ORDER_SECONDS, self.lease.deadline)
        self.lease.check_order(token, now)
        sent = await self.engines.post_json(endpoint.address, "/orders", body, deadline)
        if isinstance(sent, Err):
            LOG.write("order failed", engine=order.engine, reason=sent.err_value.reason)
        else:
            planner.record_accepted(order, trio.current_time())
            LOG.write("order accepted", engine=order.engine, fencing_token=token)

    async def _revoke(self) -> None:
        store_lease = self.lease.get_store_lease()
        if store_lease:
            with trio.CancelScope(shield=True):
                deadline = trio.current_time() + REVOKE_SECONDS
                await self.lease_store.store.revoke_lease(store_lease, deadline)
