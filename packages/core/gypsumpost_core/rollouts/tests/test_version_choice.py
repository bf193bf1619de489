"""Tests of the versions that a request may go to."""

import random
from typing import Any

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpost_core.rollouts.rollout_decider import USED_SHARE_PART, compute_full_spare
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings
from gypsumpost_core.rollouts.version_choice import VersionChoice

SETTINGS = RolloutSettings(expose_share=0.1, expose_slack=50, rollback_seconds=5.0)
ORDER = RolloutOrder(service="s", target_version="2", seconds=60.0, revision=7)
RECORD = RolloutRecord(
    service="s",
    target_version="2",
    order_revision=7,
    phase=RolloutPhase.RUNNING,
    share=0.0,
    started_at_ms=0,
    share_since_ms=0,
    deadline_ms=60_000,
    fencing_token=1,
    reason="",
)
BOTH = frozenset({"1", "2"})
OLD, NEW = frozenset({"1"}), frozenset({"2"})


def build_choice(seed: int = 1) -> VersionChoice:
    return VersionChoice(settings=SETTINGS, rng=random.Random(seed))


def build_told(**changes: Any) -> VersionChoice:
    """Return the choice of a host that has just heard of a record."""
    choice = build_choice()
    choice.put_order(ORDER)
    choice.put_record(attrs.evolve(RECORD, **changes), 100.0)
    choice.confirm(100.0)
    return choice


def count_target(choice: VersionChoice, now: float, requests: int = 400) -> int:
    chosen = [choice.choose("s", BOTH, now).preferred for _ in range(requests)]
    return chosen.count(NEW)


def test_versions_without_an_order_are_served_as_before() -> None:
    """Guards against a deployment without roll-outs that loses endpoints."""
    assert build_choice().choose("s", BOTH, 1.0).preferred == BOTH


def test_an_order_without_a_record_keeps_the_target_version_out() -> None:
    """Guards against requests to new servers before the decider's first step."""
    choice = build_choice()
    choice.put_order(ORDER)
    assert choice.choose("s", BOTH, 1.0).preferred == OLD


def test_an_order_for_the_version_that_serves_does_not_stop_it() -> None:
    """Guards against refusing all requests until the decider's first step."""
    choice = build_choice()
    choice.choose("s", NEW, 1.0)
    choice.put_order(ORDER)
    assert choice.choose("s", NEW, 1.0).preferred == NEW


def test_a_share_that_is_not_confirmed_falls_to_nothing() -> None:
    """Guards against a host without news that goes on sending to a bad version."""
    choice = build_told(share=0.5)
    fresh, aged = count_target(choice, 101.0), count_target(choice, 103.0)
    assert fresh > aged > 0
    assert count_target(choice, 100.0 + SETTINGS.rollback_seconds) == 0


def test_a_host_without_news_of_the_completion_still_finds_endpoints() -> None:
    """Guards against refusals in a domain that is cut off when the old servers stop."""
    allowed = build_told(share=1.0).choose("s", BOTH, 200.0)
    assert (allowed.preferred, allowed.fallback) == (OLD, NEW)


def test_final_phases_hold_without_confirmation() -> None:
    """Guards against a bad version that returns, or stopped servers that are tried."""
    back = build_told(phase=RolloutPhase.ROLLED_BACK)
    assert count_target(back, 1_000.0) == 0
    done = build_told(phase=RolloutPhase.COMPLETED, share=1.0)
    assert done.choose("s", BOTH, 101.0).preferred == NEW


def test_barred_versions_get_nothing() -> None:
    """Guards against requests to the version of an order that was replaced."""
    choice = build_told(target_version="3", barred=("2",))
    assert choice.choose("s", BOTH | {"3"}, 101.0).preferred == OLD


def test_a_host_that_knows_few_hosts_takes_no_larger_part() -> None:
    """Guards against hosts that start together and each take all of the spare requests."""
    choice = build_told(hosts=72)
    choice.put_hosts(1)
    choice.put_record(
        attrs.evolve(RECORD, share=1e-9, spare=28, hosts=72, share_since_ms=1_000), 100.5
    )
    exposed = 0
    for _ in range(400):
        if choice.choose("s", BOTH, 101.0).exposes:
            choice.record_exposure("s")
            exposed += 1
    assert exposed <= 1


def test_a_brake_stops_the_target_version_at_once() -> None:
    """Guards against waiting for the store when the host has seen enough."""
    choice = build_told(share=1.0)
    choice.put_brake("s", True)
    assert count_target(choice, 100.5) == 0


def test_an_older_record_does_not_replace_a_newer_one() -> None:
    """Guards against news from a slower path that opens a share again."""
    choice = build_told(phase=RolloutPhase.ROLLED_BACK, share_since_ms=5_000)
    choice.put_record(attrs.evolve(RECORD, share=0.08, share_since_ms=4_000), 101.0)
    assert count_target(choice, 101.0) == 0


@settings(max_examples=80, deadline=None)
@given(st.data())
def test_all_hosts_together_stay_within_the_bound(data: Any) -> None:
    """Guards against more requests to an unjudged version than the bounds allow.

    Hosts hear of records late or not at all, start again, freeze and come back, and their loads
    differ.
    """
    seed = data.draw(st.integers(0, 2**32))
    hosts = data.draw(st.sampled_from([3, 10, 72, 150]))
    trouble = data.draw(st.sampled_from([0.0, 0.002, 0.01]))
    rng = random.Random(seed)
    choices = [build_choice(seed + host) for host in range(hosts)]
    weights = [rng.expovariate(1.0) for _ in choices]
    blocked_until = [0.0] * hosts
    records = [RECORD]
    full_share = USED_SHARE_PART * SETTINGS.expose_share
    requests = exposed = 0
    for tick in range(300):
        now = tick * 0.1
        if tick % 10 == 9:
            spare = min(compute_full_spare(SETTINGS, hosts), records[-1].spare + rng.randrange(20))
            share = rng.choice([0.0, full_share / 2, full_share])
            records.append(
                attrs.evolve(RECORD, share=share, spare=spare, share_since_ms=tick * 100)
            )
        for host, choice in enumerate(choices):
            if rng.random() < trouble:
                blocked_until[host] = now + rng.uniform(0.0, 10.0)
            if rng.random() < trouble:
                choices[host] = choice = build_choice(rng.randrange(2**32))
            choice.put_hosts(hosts)
            choice.put_order(ORDER)
            if now >= blocked_until[host]:
                choice.put_record(records[-1 - rng.randrange(min(3, len(records)))], now)
                choice.confirm(now)
        for host in rng.choices(range(hosts), weights, k=rng.randrange(12)):
            allowed = choices[host].choose("s", BOTH, now)
            requests += 1
            if allowed.exposes:
                choices[host].record_exposure("s")
                exposed += 1
            assert allowed.exposes == (allowed.preferred == NEW)
            assert exposed <= SETTINGS.expose_share * requests + SETTINGS.expose_slack
