"""Replays of good and bad versions, and of faults that are not the version's."""

import random

import pytest

from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.tests.fleet_replay import (
    SETTINGS,
    Answer,
    FleetReplay,
    Reply,
    has_ended,
)

RNG = random.Random(5)
SERVED, FAILED = AnswerOutcome.SERVED, AnswerOutcome.FAILED
SEEDS = range(3)


def serve() -> Reply:
    return SERVED, RNG.uniform(0.5, 1.5)


def fail_at_times(part: float) -> Reply:
    return (FAILED, 0.1) if RNG.random() < part else serve()


def play_good(version: str, route: str, endpoint: int, seconds: float, load: int) -> Reply:
    return serve()


def play_failing(version: str, route: str, endpoint: int, seconds: float, load: int) -> Reply:
    return fail_at_times(0.3 if version == "2" else 0.0)


def play_failing_always(
    version: str, route: str, endpoint: int, seconds: float, load: int
) -> Reply:
    return fail_at_times(1.0 if version == "2" else 0.0)


def play_failing_later(version: str, route: str, endpoint: int, seconds: float, load: int) -> Reply:
    return fail_at_times(0.5 if version == "2" and seconds > 6.0 else 0.0)


def play_slow(version: str, route: str, endpoint: int, seconds: float, load: int) -> Reply:
    outcome, took = serve()
    return outcome, took * (5.0 if version == "2" else 1.0)


def play_failing_on_one_route(
    version: str, route: str, endpoint: int, seconds: float, load: int
) -> Reply:
    return fail_at_times(0.5 if version == "2" and route == "b" else 0.0)


def play_failing_under_load(
    version: str, route: str, endpoint: int, seconds: float, load: int
) -> Reply:
    return fail_at_times(0.6 if version == "2" and load >= 3 else 0.0)


BAD_VERSIONS = (
    play_failing,
    play_failing_always,
    play_failing_later,
    play_slow,
    play_failing_on_one_route,
    play_failing_under_load,
)


def play_request_that_fails_everywhere(
    version: str, route: str, endpoint: int, seconds: float, load: int
) -> Reply:
    return fail_at_times(0.05)


def play_outage(version: str, route: str, endpoint: int, seconds: float, load: int) -> Reply:
    return fail_at_times(0.6 if 4.0 < seconds < 7.0 else 0.0)


def play_lost_domain(version: str, route: str, endpoint: int, seconds: float, load: int) -> Reply:
    return (None, 0.2) if endpoint % 3 == 0 and seconds > 3.0 else serve()


def play_slow_fleet(version: str, route: str, endpoint: int, seconds: float, load: int) -> Reply:
    outcome, took = serve()
    return outcome, took * (4.0 if 4.0 < seconds < 7.0 else 1.0)


def play_one_faulty_endpoint(
    version: str, route: str, endpoint: int, seconds: float, load: int
) -> Reply:
    return fail_at_times(0.7 if version == "2" and endpoint == 1 else 0.0)


FAULTS_OF_OTHERS = (
    play_request_that_fails_everywhere,
    play_outage,
    play_lost_domain,
    play_slow_fleet,
    play_one_faulty_endpoint,
)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("seconds, rate", [(15.0, 30.0), (20.0, 60.0), (60.0, 20.0)])
def test_a_good_version_is_completed_after_the_old_one_is_drained(
    seed: int, seconds: float, rate: float
) -> None:
    """Guards against a roll-out that misses its deadline or cuts streams off."""
    RNG.seed(seed)
    replay = FleetReplay(play_good, seconds=seconds, rate=rate, seed=seed)
    record = replay.run()
    assert has_ended(record, RolloutPhase.COMPLETED)
    assert "0 requests on old versions, 0 silent hosts" in record.reason
    drain = [entry for entry in replay.records if entry.share == 1.0]
    assert drain[-1].share_since_ms - drain[0].share_since_ms >= 2_000


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("answer", BAD_VERSIONS)
def test_a_bad_version_is_rolled_back_within_the_bounds(answer: Answer, seed: int) -> None:
    """Guards against a bad version that gets more requests than the bounds allow."""
    RNG.seed(seed)
    replay = FleetReplay(answer, seed=seed)
    record = replay.run()
    assert has_ended(record, RolloutPhase.ROLLED_BACK)
    bound = SETTINGS.expose_share * replay.requests + SETTINGS.expose_slack
    assert replay.exposed <= bound
    if len(replay.bad_at_ms) >= 50:
        assert replay.exposed_at_ms[-1] <= replay.bad_at_ms[49] + SETTINGS.rollback_seconds * 1_000


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("answer", FAULTS_OF_OTHERS)
def test_faults_that_are_not_of_the_version_do_not_roll_it_back(answer: Answer, seed: int) -> None:
    """Guards against a good version that is rolled back for somebody else's fault."""
    RNG.seed(seed)
    record = FleetReplay(answer, seed=seed).run()
    assert has_ended(record, RolloutPhase.COMPLETED)


def test_a_version_with_too_little_traffic_is_rolled_back() -> None:
    """Guards against a verdict without answers."""
    record = FleetReplay(play_good, rate=0.1).run()
    assert has_ended(record, RolloutPhase.ROLLED_BACK)
    assert record.reason.startswith("too little traffic")


def test_a_bad_version_is_stopped_by_hosts_that_get_no_news_of_the_decider() -> None:
    """Guards against requests to a bad version while the store does not answer."""
    replay = FleetReplay(play_failing_always, seed=3)
    replay.stop_decider_at_bad_answer = True
    assert replay.run().phase is RolloutPhase.RUNNING
    assert replay.exposed <= 50
