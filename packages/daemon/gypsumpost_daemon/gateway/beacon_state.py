"""The state that hosts tell each other in beacons."""

import itertools
import math
import time

import attrs

from gypsumpost_core.gateway.copy_directory import CopyDirectory
from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.host_roles import HostRoles
from gypsumpost_core.gateway.prefill_rates import PrefillRates
from gypsumpost_core.gateway.retry_budget import RetryBudget
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_core.gateway.usage_table import UsageTable
from gypsumpost_core.host import Host
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.crash_guard import CrashGuard
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.endpoint_notices import EndpointNotices
from gypsumpost_daemon.gateway.endpoint_reports import EndpointReports
from gypsumpost_daemon.gateway.store_follower import StoreFollower
from gypsumpost_daemon.rollouts.rollout_report import NO_REPORT, RolloutReport
from gypsumpost_daemon.rollouts.rollout_state import RolloutState

MILLISECONDS = 1000


@attrs.define(kw_only=True)
class BeaconState:
    """Creates the beacons of this host from its state, and applies those of other hosts to it.

    :param own: this host.
    :param ip: its IP address.
    :param directory: configuration and endpoints.
    :param follower: follows the store.
    :param roles: which hosts watch the store and relay beacons between domains.
    :param reports: reports of lost endpoints.
    :param notices: applies what endpoints say about themselves.
    :param usage: usage of the engines.
    :param rates: prefill rates of the engines.
    :param crash_guard: detects requests that crash endpoints.
    :param copies: the streams and their copies.
    :param retry_budget: the retry budget.
    :param rollouts: what this host knows of roll-outs, ``None`` if the deployment has none.
    """

    own: Host
    ip: str
    directory: Directory
    follower: StoreFollower
    roles: HostRoles
    reports: EndpointReports
    notices: EndpointNotices
    usage: UsageTable
    rates: PrefillRates
    crash_guard: CrashGuard
    copies: CopyDirectory
    retry_budget: RetryBudget
    rollouts: RolloutState | None = None
    # Starts at the clock, so that a restarted host continues with higher numbers.
    _sequence: itertools.count = attrs.field(
        factory=lambda: itertools.count(int(time.time() * 1000)), init=False
    )

    def create_beacon(self, now: float) -> Beacon:
        """Return the state of this host.

        :param now: monotonic time in seconds.
        """
        return Beacon(
            host=HostReport(
                host_id=self.own.host_id,
                failure_domain=self.own.failure_domain,
                link_mbps=self.roles.link_mbps,
                watching=self.follower.watching,
                store_lost=self.follower.lost,
            ),
            ip=self.ip,
            sequence=next(self._sequence),
            version=self.directory.version,
            endpoint_revision=self.directory.endpoint_position.revision,
            era=self.directory.endpoint_position.era,
            uses=self.usage.sum_own(now),
            rates=self.rates.list_measured(now),
            retries=self.retry_budget.sum_own(now),
            losses=self.reports.list_losses(now),
            returns=self.reports.list_returns(now),
            leaving=self.directory.fleet.list_leaving(),
            limits=self.notices.list_limits(now),
            crashes=self.crash_guard.list_reports(now),
            survivals=self.crash_guard.list_survivals(now),
            copies=self.copies.list_own(now),
            rollouts=self._report_rollouts(now, of_domain=False),
            incarnation=self.copies.incarnation,
            confirmed_ms_ago=count_milliseconds(
                self.directory.freshness.compute_confirmation_age()
            ),
            endpoints_told_ms_ago=count_milliseconds(
                now - self.follower.get_told_at(self.directory.endpoint_prefix)
            ),
        )

    def create_domain_beacon(self, now: float) -> Beacon:
        """Return the state of this host with the totals of its domain.

        :param now: monotonic time in seconds.
        """
        return attrs.evolve(
            self.create_beacon(now),
            covers_domain=True,
            uses=self.usage.sum_domain(now),
            rates=self.rates.list_domain(now),
            retries=self.retry_budget.sum_domain(now),
            losses=self.reports.list_losses(now, of_domain=True),
            returns=self.reports.list_returns(now, of_domain=True),
            copies=(),
            begun=self.copies.begun.list_announced(now),
            rollouts=self._report_rollouts(now, of_domain=True),
        )

    def apply(self, beacon: Beacon, now: float, *, arrived_after: float) -> bool:
        """Apply the state of another host, and return true if the totals of this domain change.

        :param beacon: the beacon of the other host.
        :param now: monotonic time in seconds.
        :param arrived_after: moment before its arrival, as monotonic time in seconds.
        """
        report = beacon.host
        changed = False
        in_own_domain = report.failure_domain == self.own.failure_domain
        self.roles.put_report(report, now)
        self.rates.add_reports(beacon.rates, now, own_domain=in_own_domain)
        if beacon.covers_domain:
            self.usage.reports.put_domain(report.failure_domain, beacon.uses, now)
            self.retry_budget.reports.put_domain(report.failure_domain, beacon.retries, now)
            if not in_own_domain:
                self.copies.begun.put_elsewhere(report.failure_domain, beacon.begun, now)
        elif in_own_domain:
            self._record_endpoints_told(beacon, arrived_after)
            changed = beacon.uses != self.usage.reports.get_host(report.host_id)
            self.usage.reports.put_host(report.host_id, beacon.uses, now)
            self.retry_budget.reports.put_host(report.host_id, beacon.retries, now)
            if not beacon.copies_left_out:
                self.copies.put_peer_reports(
                    report.host_id, beacon.copies, now, incarnation=beacon.incarnation
                )
        self.reports.handle_beacon(beacon, now, arrived_after=arrived_after)
        for start in beacon.leaving:
            changed = self.directory.fleet.mark_leaving(start) or changed
        changed = self.notices.apply_limits(beacon.limits, report.host_id, now) or changed
        for crash in beacon.crashes:
            self.crash_guard.add_report(crash, now)
        for survival in beacon.survivals:
            self.crash_guard.add_survival(survival, now)
        if self.rollouts is not None:
            self.rollouts.apply_report(beacon.rollouts, report, now, of_domain=beacon.covers_domain)
        if self.roles.is_store_lost(now):
            self.follower.record_peers_outage()
        return changed

    def _record_endpoints_told(self, beacon: Beacon, arrived_after: float) -> None:
        """Record what the store has told a peer of the domain, if nothing of it is lacking here."""
        era = self.directory.resolve_era(beacon.era)
        position = StorePosition(era=era, revision=beacon.endpoint_revision)
        if beacon.endpoints_told_ms_ago is not None and (
            position <= self.directory.endpoint_position
        ):
            told_at = arrived_after - beacon.endpoints_told_ms_ago / MILLISECONDS
            self.follower.record_told(self.directory.endpoint_prefix, told_at)

    def _report_rollouts(self, now: float, *, of_domain: bool) -> RolloutReport:
        if self.rollouts is None:
            return NO_REPORT
        return self.rollouts.create_report(now, of_domain=of_domain)


def count_milliseconds(age: float) -> int | None:
    """Return an age in whole milliseconds, rounded up, ``None`` if it is infinite.

    :param age: the age in seconds.
    """
    return None if age == math.inf else math.ceil(age * MILLISECONDS)
