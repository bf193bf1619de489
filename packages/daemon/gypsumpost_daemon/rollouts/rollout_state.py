"""What this host knows of roll-outs, and what it tells its peers."""

import math
import random
from collections.abc import Callable, Mapping

import attrs
import trio

from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_core.host import Host
from gypsumpost_core.rollouts.evidence_report import EvidenceReport
from gypsumpost_core.rollouts.rollout_identity import is_same_rollout, read_era
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings
from gypsumpost_core.rollouts.verdict import Verdict
from gypsumpost_core.rollouts.version_choice import VersionChoice
from gypsumpost_core.rollouts.version_evidence import VersionEvidence
from gypsumpost_core.rollouts.version_judge import judge_version
from gypsumpost_daemon.rollouts.lease_confirmation import NEVER, LeaseConfirmation
from gypsumpost_daemon.rollouts.order_table import OrderTable
from gypsumpost_daemon.rollouts.rollout_report import NEVER_MS, NO_REPORT, RolloutReport
from gypsumpost_daemon.rollouts.unix_clock import MILLISECONDS, read_unix_ms
from gypsumpost_daemon.telemetry.log import Log

REPORT_SECONDS = 2.5
"""More than the longest time between the reports of an idle host, relays included."""

UPDATE_SECONDS = 1.0
CLOCK_MARGIN_MS = 1000
"""Difference of the clocks of two hosts."""

LOG = Log(prefix="rollout")


class RolloutState:
    """Orders, records and evidence of this host.

    :param own: this host.
    :param settings: bounds of roll-outs.
    :param orders: the orders in force.
    :param count_hosts: returns the number of hosts of the deployment.
    :param read_store_era: returns the era of the store as this host believes it.
    """

    def __init__(
        self,
        *,
        own: Host,
        settings: RolloutSettings,
        orders: OrderTable,
        count_hosts: Callable[[], int],
        read_store_era: Callable[[], StoreEra],
    ) -> None:
        self._own = own
        self.settings = settings
        self.orders = orders
        self._count_hosts = count_hosts
        self._read_store_era = read_store_era
        self.choice = VersionChoice(settings=settings, rng=random.Random())
        self._started_ms = read_unix_ms()
        # A restarted host has a higher epoch.
        self.evidence = VersionEvidence(
            host_id=own.host_id, failure_domain=own.failure_domain, epoch=self._started_ms
        )
        self.records: dict[str, RolloutRecord] = {}
        self.confirmation = NEVER
        self.confirmed_at = -math.inf
        self._heard: dict[str, float] = {}
        self._changed = trio.Event()
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when a record has changed; it must not block."""
        self._listeners.append(listener)

    def apply_item(self, item: StoredItem, era: StoreEra) -> None:
        """Apply a changed item of the store that may be an order.

        :param item: the item.
        :param era: era of the store to which its revision belongs.
        """
        order = self.orders.apply(item, era)
        if order is not None:
            self.choice.put_order(order)
        self._notify_change()

    async def wait_open(self) -> None:
        """Wait until there is a roll-out that has not ended."""
        while not self.list_open():
            # A new era opens roll-outs as well.
            with trio.move_on_after(UPDATE_SECONDS):
                await self._changed.wait()

    async def wait_change(self) -> None:
        """Wait until an order or a record has changed."""
        await self._changed.wait()

    def is_open(self, order: RolloutOrder) -> bool:
        """Return true if the roll-out of an order has not ended, as far as this host knows.

        :param order: the order.
        """
        record = self.records.get(order.service)
        if record is None or record.order_revision < order.revision:
            return True
        return record.phase is RolloutPhase.RUNNING

    def list_open(self) -> list[str]:
        """Return the services for which there is something to decide or to write.

        These are the roll-outs that have not ended, also if their order was removed, and those
        whose record has not been written since the store came back from a copy.
        """
        era = self._read_store_era()
        services = {order.service for order in self.orders.list_orders() if self.is_open(order)}
        services |= {
            record.service
            for record in self.records.values()
            if record.phase is RolloutPhase.RUNNING or read_era(record.fencing_token) < era
        }
        return sorted(services)

    def is_involved(self, service: str) -> bool:
        """Return true if a service has an order or a record.

        :param service: name of the service.
        """
        return service in self.records or self.orders.get(service) is not None

    def put_record(self, record: RolloutRecord, now: float, source: str) -> None:
        """Apply a record that was read, written or received.

        :param record: the record.
        :param now: monotonic time in seconds.
        :param source: where it comes from, for the log.
        """
        if record == self.records.get(record.service):
            return  # Peers repeat it in each beacon.
        self.choice.put_hosts(self._count_hosts())
        known = self.choice.get_record(record.service)
        is_new = known is None or (
            known.order_revision < record.order_revision and not is_same_rollout(record, known)
        )
        if is_new and self._started_ms + CLOCK_MARGIN_MS < record.started_at_ms:
            # This host has run from the start of the roll-out and has used none of the spare
            # requests, even if a later record than the first one reaches it first.
            first = attrs.evolve(record, share=0.0, spare=0, share_since_ms=record.started_at_ms)
            self.choice.put_record(first, now)
        self.choice.put_record(record, now)
        newest = self.choice.get_record(record.service)
        if newest is None or newest == self.records.get(record.service):
            return
        self.records[record.service] = newest
        if newest.phase is RolloutPhase.RUNNING:
            self.evidence.start(newest.service, newest.target_version)
        else:
            self.evidence.stop(newest.service)
        LOG.write(
            "the roll-out has changed",
            service=newest.service,
            target=newest.target_version,
            phase=newest.phase.value,
            share=newest.share,
            spare=newest.spare,
            reason=newest.reason,
            age_seconds=round((read_unix_ms() - newest.share_since_ms) / MILLISECONDS, 3),
            source=source,
        )
        self._notify_change()
        self.announce()

    def confirm(self, confirmation: LeaseConfirmation, confirmed_at: float) -> None:
        """Record that the decider held its lease, so that the records are those of the store.

        A report takes some time to arrive, by which its confirmation seems too young. Hosts that
        repeat it to each other would make it younger and younger, so the same one counts with its
        highest age.

        :param confirmation: which confirmation it is.
        :param confirmed_at: monotonic time in seconds at which the lease was held.
        """
        if confirmation > self.confirmation:
            self.confirmation = confirmation
            self.confirmed_at = confirmed_at
            self.choice.confirm(confirmed_at)
        elif confirmation == self.confirmation:
            self.confirmed_at = min(self.confirmed_at, confirmed_at)

    def announce(self) -> None:
        """Tell the peers at once what this host knows."""
        for listener in self._listeners:
            listener()

    def count_silent(self, domains: Mapping[str, str], now: float) -> int:
        """Return how many hosts have not reported lately.

        :param domains: failure domain of each live host by its id.
        :param now: monotonic time in seconds.
        """
        sources = [
            host_id if domain == self._own.failure_domain else domain
            for host_id, domain in domains.items()
            if host_id != self._own.host_id
        ]
        return sum(now - self._heard.get(source, -math.inf) > REPORT_SECONDS for source in sources)

    def update(self) -> None:
        """Stop the use of versions against which the evidence speaks."""
        now_ms = read_unix_ms()
        for record in self.records.values():
            if record.phase is RolloutPhase.RUNNING:
                evidence = self.evidence.sum_counts(record.service, now_ms)
                verdict = judge_version(evidence, record.target_version).verdict
                self.choice.put_brake(record.service, verdict is Verdict.BAD)

    async def run(self) -> None:
        """Weigh the evidence of running roll-outs until cancelled."""
        while True:
            await self.wait_open()
            await trio.sleep(UPDATE_SECONDS)
            self.update()

    def create_report(self, now: float, *, of_domain: bool) -> RolloutReport:
        """Return what this host tells its peers.

        :param now: monotonic time in seconds.
        :param of_domain: true for the evidence of all hosts of the domain.
        """
        if not self.records and self.confirmed_at == -math.inf:
            return NO_REPORT
        age = now - self.confirmed_at
        now_ms = read_unix_ms()
        evidence = self.evidence.sum_domain(now_ms) if of_domain else self.evidence.snapshot(now_ms)
        return RolloutReport(
            records=tuple(self.records.values()),
            confirmation=self.confirmation,
            confirmed_age_ms=round(min(NEVER_MS, age * MILLISECONDS)),
            epoch=evidence.epoch,
            evidence=evidence.rows,
        )

    def apply_report(
        self, report: RolloutReport, host: HostReport, now: float, *, of_domain: bool
    ) -> None:
        """Take in what a peer tells.

        :param report: the report.
        :param host: the peer.
        :param now: monotonic time in seconds.
        :param of_domain: true if the evidence is that of the peer's whole domain.
        """
        self._heard[host.failure_domain if of_domain else host.host_id] = now
        for record in report.records:
            self.put_record(record, now, host.host_id)
        if report.confirmation != NEVER:
            self.confirm(report.confirmation, now - report.confirmed_age_ms / MILLISECONDS)
        if not of_domain and host.failure_domain != self._own.failure_domain:
            return  # Its counts come with those of its domain.
        self.evidence.merge(
            EvidenceReport(
                source=host.failure_domain if of_domain else host.host_id,
                epoch=report.epoch,
                rows=report.evidence,
            ),
            of_domain=of_domain,
            now_ms=read_unix_ms(),
        )

    def _notify_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
