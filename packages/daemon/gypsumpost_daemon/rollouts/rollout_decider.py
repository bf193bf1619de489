"""The task that decides on roll-outs while this host holds the lease."""

import random
from collections.abc import Callable

import attrs
import trio
from result import Err

from gypsumpost_core.rollouts.rollout_decider import decide_step
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.rollouts.decider_lease import DeciderLease
from gypsumpost_daemon.rollouts.fleet_observer import FleetObserver
from gypsumpost_daemon.rollouts.record_store import RecordStore
from gypsumpost_daemon.rollouts.rollout_state import RolloutState
from gypsumpost_daemon.rollouts.unix_clock import MILLISECONDS, read_unix_ms
from gypsumpost_daemon.telemetry.log import Log

STEP_SECONDS = 0.25
TAKEOVER_SECONDS = 2.0
"""A decider that has not been heard of for this long has lost its lease: the lease, and the time
that news takes between domains."""

SPREAD_SECONDS = 1.0
"""Hosts ask for the lease at different moments; most of them hear of the new decider before."""

RETRY_SECONDS = 1.0
STEPS_AT_ONCE = 2
"""The first share follows at once on the record of a new order."""

LOG_SECONDS = 1.0
"""Minimum time between two lines that say why no step is taken."""

SOURCE = "store"

LOG = Log(prefix="rollout")


class RolloutDecider:
    """Takes the lease while a roll-out is open and nobody decides, and takes its steps.

    The record in the store holds all that the next decider needs. A write without an answer may
    still be made, so the records are read again before the next step.

    :param state: what this host knows of roll-outs.
    :param lease: the lease of the decider.
    :param records: the durable records.
    :param observer: counts hosts and endpoints.
    :param is_watching: returns true while this host watches the store and the store answers.
    """

    def __init__(
        self,
        *,
        state: RolloutState,
        lease: DeciderLease,
        records: RecordStore,
        observer: FleetObserver,
        is_watching: Callable[[], bool],
    ) -> None:
        self._state = state
        self._lease = lease
        self._records = records
        self._observer = observer
        self._is_watching = is_watching
        self._take_at = 0.0
        self._due = False
        self._stale = True
        self._log_at = 0.0
        self._reasons: dict[str, str] = {}

    @property
    def deciding(self) -> bool:
        """True while this host holds the lease."""
        return self._lease.held

    async def run(self) -> None:
        """Decide until cancelled; nothing is asked of the store while no roll-out is open."""
        while True:
            if not self._lease.held:
                await self._state.wait_open()
            await trio.sleep(STEP_SECONDS)
            with contain_errors(LOG, "a step of a roll-out"):
                await self._run_once()

    async def _run_once(self) -> None:
        services = self._state.list_open()
        if not self._lease.held:
            if services and self._is_take_due():
                await self._take()
            return
        if not services:
            await self._lease.end()
            return
        await self._lease.renew()
        if not self._lease.held:
            LOG.write("lost the lease", token=self._lease.token)
            return
        if self._stale and not await self._read():
            return
        if not self._lease.held:
            return
        self._state.confirm(self._lease.confirmation, self._lease.confirmed_at)
        await self._decide_all()

    async def _decide_all(self) -> None:
        for service in self._state.list_open():
            for _ in range(STEPS_AT_ONCE):
                if not self._lease.held or not await self._decide(service):
                    break

    def _is_take_due(self) -> bool:
        now = trio.current_time()
        if now < self._state.confirmed_at + TAKEOVER_SECONDS or not self._is_watching():
            self._due = False
            return False
        if not self._due:
            self._due = True
            self._take_at = max(self._take_at, now + random.uniform(0.0, SPREAD_SECONDS))
        return now >= self._take_at

    async def _take(self) -> None:
        self._take_at = trio.current_time() + RETRY_SECONDS * random.uniform(0.5, 1.5)
        taken = await self._lease.take()
        if isinstance(taken, Err):
            LOG.write(
                "did not get the lease",
                kind=taken.err_value.kind.value,
                reason=taken.err_value.reason,
            )
            return
        LOG.write("took the lease", token=self._lease.token)
        if not await self._read():
            # The store may turn this host away and serve others.
            await self._lease.end()
            return
        if not self._lease.held:
            return
        self._state.confirm(self._lease.confirmation, self._lease.confirmed_at)
        self._state.announce()
        await self._decide_all()

    async def _read(self) -> bool:
        read = await self._records.read()
        if isinstance(read, Err):
            LOG.write("cannot read the records", reason=read.err_value)
            return False
        self._stale = False
        for record in self._records.records.values():
            self._state.put_record(record, trio.current_time(), SOURCE)
        return True

    async def _decide(self, service: str) -> bool:
        """Take the next step of a roll-out; return true if one was taken."""
        now_ms = read_unix_ms()
        # After a restore of the store, peers know a newer record than the copy holds.
        record = self._state.records.get(service)
        order = self._find_order(service, now_ms)
        target = order.target_version if order else record.target_version if record else ""
        evidence = self._state.evidence.sum_counts(service, now_ms)
        fleet = self._observer.observe(service, target, trio.current_time())
        step = decide_step(
            record=record,
            order=order,
            evidence=evidence,
            fleet=fleet,
            settings=self._state.settings,
            fencing_token=self._lease.token,
            now_ms=now_ms,
        )
        is_due = trio.current_time() >= self._log_at and self._reasons.get(service) != step.reason
        if step.record is not None or is_due:
            self._reasons[service] = step.reason
            self._log_at = trio.current_time() + LOG_SECONDS
            LOG.write(
                "took a step" if step.record else "waits",
                service=service,
                reason=step.reason,
                phase=step.record.phase.value if step.record else "",
                share=step.record.share if step.record else record.share if record else 0.0,
                target_endpoints=fleet.target_endpoints,
                other_endpoints=fleet.other_endpoints,
                other_requests=fleet.other_requests,
                missing_hosts=fleet.missing_hosts,
                hosts=fleet.hosts,
                left_seconds=(record.deadline_ms - now_ms) / MILLISECONDS if record else 0.0,
            )
        return step.record is not None and await self._write(step.record)

    def _find_order(self, service: str, now_ms: int) -> RolloutOrder | None:
        """Return the order of a service with the time since it arrived."""
        order = self._state.orders.get(service)
        if order is None or not order.is_valid:
            return order
        waited = (now_ms - self._state.orders.get_received_ms(service)) / MILLISECONDS
        return attrs.evolve(order, waited_seconds=waited)

    async def _write(self, record: RolloutRecord) -> bool:
        written = await self._records.write(record)
        if isinstance(written, Err):
            self._stale = True
            self._lease.check_soon()
            LOG.write(
                "a step was not confirmed",
                service=record.service,
                kind=written.err_value.kind.value,
                reason=written.err_value.reason,
            )
            return False
        self._state.put_record(record, trio.current_time(), SOURCE)
        return True
