"""Tests of the steps of a roll-out."""

from typing import Any

import attrs
import pytest

from gypsumpost_core.rollouts.evidence_key import EvidenceKey
from gypsumpost_core.rollouts.evidence_row import EvidenceRow
from gypsumpost_core.rollouts.evidence_sum import EvidenceSum
from gypsumpost_core.rollouts.fleet_view import FleetView
from gypsumpost_core.rollouts.rollout_decider import decide_step
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings
from gypsumpost_core.rollouts.rollout_step import RolloutStep
from gypsumpost_core.rollouts.version_count import VersionCount

SETTINGS = RolloutSettings(expose_share=0.1, expose_slack=50, rollback_seconds=5.0)
NOW_MS = 1_800_000_000_000
ORDER = RolloutOrder(service="s", target_version="2", seconds=60.0, revision=7)
FLEET = FleetView(
    service_known=True,
    target_endpoints=4,
    other_endpoints=4,
    other_requests=3,
    missing_hosts=0,
    hosts=4,
)


def build_evidence(answers: int, failures: int = 0, arrivals: int = 0) -> EvidenceSum:
    """Return evidence with good old answers and twice the given ones of the target version."""
    counts = {
        "1": VersionCount(arrivals=200, answers=200),
        "2": VersionCount(arrivals=arrivals or answers, answers=answers, failures=failures),
    }
    return EvidenceSum(
        rows=tuple(
            EvidenceRow(
                key=EvidenceKey(service="s", version=version, route="a", window=0, group=group),
                count=count,
            )
            for version, count in counts.items()
            for group in ((0,) if version == "1" else (1, 2))
        )
    )


def decide(
    record: RolloutRecord | None,
    seconds: float,
    *,
    order: RolloutOrder | None = ORDER,
    evidence: EvidenceSum | None = None,
    fleet: FleetView = FLEET,
    token: int = 1,
) -> RolloutStep:
    return decide_step(
        record=record,
        order=order,
        evidence=evidence or EvidenceSum(),
        fleet=fleet,
        settings=SETTINGS,
        fencing_token=token,
        now_ms=NOW_MS + int(seconds * 1_000),
    )


def start(order: RolloutOrder = ORDER, fleet: FleetView = FLEET) -> RolloutRecord:
    return get_record(decide(None, 0.0, order=order, fleet=fleet))


def get_record(step: RolloutStep) -> RolloutRecord:
    assert step.record is not None, step.reason
    return step.record


def test_the_first_step_stores_the_deadline_and_sends_nothing() -> None:
    """Guards against a deadline that moves with each new decider."""
    record = start()
    assert (record.share, record.spare, record.deadline_ms) == (0.0, 0, NOW_MS + 60_000)
    later = get_record(decide(record, 10.0, token=2))
    assert later.deadline_ms == record.deadline_ms
    assert 0 < later.share < SETTINGS.expose_share


def test_the_share_grows_on_answers_only() -> None:
    """Guards against a share that grows with time alone."""
    record = get_record(decide(start(), 1.0))
    assert decide(record, 30.0).record is None
    grown = get_record(decide(record, 3.0, evidence=build_evidence(4)))
    assert grown.share > record.share and grown.spare > record.spare
    assert decide(grown, 3.5, evidence=build_evidence(40)).record is None


def test_doubt_takes_a_large_share_back() -> None:
    """Guards against full traffic to a version whose verdict is open again."""
    drain = attrs.evolve(start(), share=1.0, share_since_ms=NOW_MS)
    step = decide(drain, 20.0, evidence=build_evidence(20, failures=1))
    assert get_record(step).share < SETTINGS.expose_share


def test_old_requests_are_waited_for_until_the_last_step() -> None:
    """Guards against a completion that cuts streams on the old servers off."""
    drain = attrs.evolve(start(), share=1.0, share_since_ms=NOW_MS)
    good = build_evidence(40)
    assert decide(drain, 30.0, evidence=good).record is None
    silent = attrs.evolve(FLEET, other_requests=0, missing_hosts=1)
    assert decide(drain, 30.0, evidence=good, fleet=silent).record is None
    empty = attrs.evolve(FLEET, other_requests=0)
    assert decide(drain, 1.0, evidence=good, fleet=empty).record is None
    done = get_record(decide(drain, 30.0, evidence=good, fleet=empty))
    assert done.phase is RolloutPhase.COMPLETED
    forced = get_record(decide(drain, 59.0, evidence=good))
    assert forced.phase is RolloutPhase.COMPLETED
    assert "3 requests on old versions" in forced.reason


def test_a_store_that_comes_back_late_finds_a_judged_version() -> None:
    """Guards against an outage of the store that leaves a good version without an end."""
    record = get_record(decide(start(), 1.0))
    late = get_record(decide(record, 53.0, evidence=build_evidence(40)))
    assert late.share == 1.0
    hanging = build_evidence(4, arrivals=20)
    assert "missing" in get_record(decide(record, 53.0, evidence=hanging)).reason
    too_late = get_record(decide(record, 61.0, evidence=build_evidence(40)))
    assert too_late.phase is RolloutPhase.ROLLED_BACK


@pytest.mark.parametrize(
    "fleet, reason",
    [
        (attrs.evolve(FLEET, target_endpoints=0), "no endpoint has the version"),
        (attrs.evolve(FLEET, service_known=False), "the service is not in the configuration"),
    ],
)
def test_a_version_or_service_that_never_comes_is_rolled_back(
    fleet: FleetView, reason: str
) -> None:
    """Guards against an order that stays open."""
    record = start(fleet=fleet)
    assert decide(record, 20.0, fleet=fleet).record is None
    done = get_record(decide(record, 56.0, fleet=fleet))
    assert (done.phase, done.reason) == (RolloutPhase.ROLLED_BACK, reason)


def test_a_version_whose_endpoints_leave_is_observed_anew() -> None:
    """Guards against all requests waiting for endpoints that are gone."""
    drain = attrs.evolve(start(), share=1.0, spare=20, share_since_ms=NOW_MS)
    gone = attrs.evolve(FLEET, target_endpoints=0)
    record = get_record(decide(drain, 20.0, fleet=gone))
    assert (record.share, record.spare) == (0.0, 20)
    again = get_record(decide(record, 22.0))
    assert 0 < again.share < SETTINGS.expose_share and again.spare == 20


def test_a_second_order_replaces_the_first_and_bars_its_version() -> None:
    """Guards against requests to the unjudged version of an order that was replaced."""
    record = get_record(decide(start(), 1.0))
    second = attrs.evolve(ORDER, target_version="3", revision=9)
    replaced = get_record(decide(record, 5.0, order=second))
    assert (replaced.target_version, replaced.barred) == ("3", ("2",))
    assert replaced.deadline_ms == NOW_MS + 65_000
    assert decide(replaced, 6.0, order=ORDER).record != record
    back = attrs.evolve(ORDER, target_version="2", revision=11)
    assert get_record(decide(replaced, 8.0, order=back)).barred == ("3",)


def test_an_order_for_the_only_version_is_completed_at_once() -> None:
    """Guards against refusing all requests of a service that already runs the version."""
    alone = attrs.evolve(FLEET, other_endpoints=0, other_requests=0)
    assert start(fleet=alone).phase is RolloutPhase.COMPLETED


@pytest.mark.parametrize(
    "change", [{"seconds": float("nan")}, {"seconds": 0.0}, {"target_version": ""}]
)
def test_an_order_that_is_not_valid_changes_nothing(change: dict[str, Any]) -> None:
    """Guards against a malformed order that stops a roll-out or bars a version."""
    wrong = attrs.evolve(ORDER, revision=9, **change)
    assert decide(None, 0.0, order=wrong).record is None
    record = get_record(decide(start(), 1.0))
    assert decide(record, 2.0, order=wrong).record is None


def test_a_withdrawn_order_is_rolled_back() -> None:
    """Guards against a share that nobody ordered any more."""
    record = get_record(decide(start(), 1.0))
    assert get_record(decide(record, 2.0, order=None)).phase is RolloutPhase.ROLLED_BACK


def test_a_decider_with_an_earlier_lease_does_nothing() -> None:
    """Guards against a decider that goes on after a freeze."""
    record = attrs.evolve(start(), fencing_token=5)
    assert decide(record, 2.0, token=4).record is None
    assert get_record(decide(record, 2.0, token=6)).fencing_token == 6
