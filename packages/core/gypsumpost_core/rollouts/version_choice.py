"""Chooses the versions that a request may go to."""

import random

import attrs

from gypsumpost_core.rollouts.allowed_versions import AllowedVersions
from gypsumpost_core.rollouts.rollout_identity import is_answered, is_older, is_same_rollout
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings
from gypsumpost_core.rollouts.service_rollout import ServiceRollout

# Parts of the time within which a bad version must get no more requests: up to the first a share
# counts as confirmed, and at the second it is 0. The rest is for requests on their way.
CONFIRMED_PART = 0.4
EXPIRED_PART = 0.8
# Keeps a host that could send nothing to the target version from catching up all at once.
MAX_CREDIT = 2.0
# Spreads the exposed requests: a fixed interval would hit one route only if routes alternate.
EXPOSE_PROBABILITY = 0.5
# The old servers stop at once after the completion; until they are gone they are not preferred.
COMPLETED_SECONDS = 30.0


@attrs.define(kw_only=True)
class VersionChoice:
    """Chooses the versions that a request may go to, on one host.

    Before the verdict each host sends requests to the target version out of a credit: the share
    times its own requests, and its part of the spare requests of the record. The sum over all
    hosts stays within the bounds, however late the news of each host is. The credit starts at a
    random fraction, so that hosts with little traffic take part without a bias. A host that starts
    in the middle gets no part of the spare requests granted before, since it may have used them.

    :param settings: bounds of roll-outs.
    :param rng: source of random numbers.
    """

    settings: RolloutSettings
    rng: random.Random
    _rollouts: dict[str, ServiceRollout] = attrs.field(factory=dict, init=False)
    _confirmed_at: float = attrs.field(default=float("-inf"), init=False)
    _hosts: int = attrs.field(default=1, init=False)

    def put_order(self, order: RolloutOrder) -> None:
        """Record an order; one that is not valid or older than the known one is ignored.

        :param order: the order.
        """
        rollout = self._get_rollout(order.service)
        if order.is_valid and (rollout.order is None or rollout.order.revision < order.revision):
            rollout.order = order

    def put_record(self, record: RolloutRecord, now: float) -> None:
        """Record the stored state of a roll-out; an older state than the known one is ignored.

        :param record: the stored state.
        :param now: monotonic time in seconds.
        """
        rollout = self._get_rollout(record.service)
        known = rollout.record
        if known is not None and is_older(record, known):
            return
        if known is None or not is_same_rollout(record, known):
            rollout.credit = self.rng.random()
            rollout.spare = record.spare
            rollout.braked = False
        if known is None or known.phase is not record.phase:
            rollout.known_since = now
        if record.spare > rollout.spare:
            # A host that has just started may know fewer hosts than the decider.
            hosts = max(self._hosts, record.hosts)
            rollout.credit += (record.spare - rollout.spare) / hosts
            rollout.spare = record.spare
        rollout.record = record

    def put_hosts(self, hosts: int) -> None:
        """Record the number of hosts; the largest one counts, as hosts that are away still send.

        :param hosts: hosts of the deployment.
        """
        self._hosts = max(self._hosts, hosts)

    def confirm(self, now: float) -> None:
        """Record that the known orders and records are those of the store.

        :param now: monotonic time in seconds at which the store, or a host that watches it, sent
            the confirmation at the earliest.
        """
        self._confirmed_at = max(self._confirmed_at, now)

    def put_brake(self, service: str, braked: bool) -> None:
        """Stop or resume the requests to a target version before the decider says so.

        :param service: name of the service.
        :param braked: true while this host's own sum of the evidence is against the version.
        """
        self._get_rollout(service).braked = braked

    def get_record(self, service: str) -> RolloutRecord | None:
        """Return the last known record of a service.

        :param service: name of the service.
        """
        rollout = self._rollouts.get(service)
        return rollout.record if rollout else None

    def choose(
        self, service: str, versions: frozenset[str], now: float, *, is_first: bool = True
    ) -> AllowedVersions:
        """Return the versions that a request may go to.

        :param service: name of the service.
        :param versions: versions of its endpoints.
        :param now: monotonic time in seconds.
        :param is_first: false for a retry, which adds nothing to the credit.
        """
        rollout = self._get_rollout(service)
        order, record = rollout.order, rollout.record
        if order is not None and not is_answered(record, order):
            return self._choose_before_start(rollout, order, versions)
        if record is None:
            rollout.established |= versions
            return AllowedVersions(preferred=versions)
        usable = versions - frozenset(record.barred)
        others = usable - {record.target_version}
        if record.phase is RolloutPhase.ROLLED_BACK:
            rollout.established |= others
            return AllowedVersions(preferred=others)
        if record.phase is RolloutPhase.COMPLETED:
            return self._choose_completed(rollout, record, usable, now)
        if record.target_version not in versions:
            return AllowedVersions(preferred=others)
        return self._choose_running(rollout, record, others, now, is_first)

    def record_exposure(self, service: str) -> None:
        """Record that a request was sent to a version without a verdict.

        :param service: name of the service.
        """
        self._get_rollout(service).credit -= 1.0

    def _choose_before_start(
        self, rollout: ServiceRollout, order: RolloutOrder, versions: frozenset[str]
    ) -> AllowedVersions:
        barred: set[str] = set()
        if rollout.record is not None:
            barred.update(rollout.record.barred)
            if rollout.record.phase is not RolloutPhase.COMPLETED:
                barred.add(rollout.record.target_version)
        if order.target_version not in rollout.established:
            barred.add(order.target_version)
        return AllowedVersions(preferred=versions - barred)

    def _choose_completed(
        self,
        rollout: ServiceRollout,
        record: RolloutRecord,
        usable: frozenset[str],
        now: float,
    ) -> AllowedVersions:
        target = frozenset({record.target_version})
        rollout.established |= usable
        if now >= rollout.known_since + COMPLETED_SECONDS or not usable & target:
            return AllowedVersions(preferred=usable)
        return AllowedVersions(preferred=target, fallback=usable - target)

    def _choose_running(
        self,
        rollout: ServiceRollout,
        record: RolloutRecord,
        others: frozenset[str],
        now: float,
        is_first: bool,
    ) -> AllowedVersions:
        target = frozenset({record.target_version})
        share = 0.0 if rollout.braked else record.share * self._compute_confidence(now)
        if record.share >= 1.0 or record.share > self.settings.expose_share:
            if self.rng.random() < share:
                return AllowedVersions(preferred=target, fallback=others)
            # With all requests granted the old servers may have stopped without this host's news.
            is_last_resort = record.share >= 1.0 and not rollout.braked
            return AllowedVersions(
                preferred=others, fallback=target if is_last_resort else frozenset()
            )
        if is_first:
            rollout.credit = min(MAX_CREDIT, rollout.credit + share)
        is_exposed = share > 0 and rollout.credit >= 1.0
        if is_exposed and self.rng.random() < EXPOSE_PROBABILITY:
            return AllowedVersions(preferred=target, fallback=others, exposes=True)
        return AllowedVersions(preferred=others)

    def _compute_confidence(self, now: float) -> float:
        age = now - self._confirmed_at
        confirmed = CONFIRMED_PART * self.settings.rollback_seconds
        expired = EXPIRED_PART * self.settings.rollback_seconds
        if age <= confirmed:
            return 1.0
        return max(0.0, (expired - age) / (expired - confirmed))

    def _get_rollout(self, service: str) -> ServiceRollout:
        return self._rollouts.setdefault(service, ServiceRollout())
