"""Tests of the decision which requests and parts of prompts crash endpoints."""

import random

import pytest

from gypsumpost_core.crashes.crash_evidence import MAX_CRASHES
from gypsumpost_core.crashes.crash_register import CrashRegister
from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.crashes.survival_report import SurvivalReport
from gypsumpost_core.gateway.endpoint_start import EndpointStart

DEADLY = b"deadly"
FIRST = b"first"
REQUEST = CrashSuspect(fingerprint=b"f")


def create_report(endpoint_id, started_at=1, suspect=REQUEST, domain="a"):
    return CrashReport(
        suspect=suspect,
        process=EndpointStart(endpoint_id=endpoint_id, started_at=started_at),
        failure_domain=domain,
    )


def create_suspect(number, *parts):
    return CrashSuspect(fingerprint=b"request %d" % number, parts=parts)


def is_refused(register, suspect, now):
    register.review(now)
    return bool(register.list_causes(suspect))


def is_part_refused(register, part, now):
    return is_refused(register, CrashSuspect(fingerprint=b"another request", parts=(part,)), now)


def test_a_request_is_refused_after_three_crashes():
    """Guards against counting one crash several times when several hosts report it."""
    register = CrashRegister()
    assert register.add(create_report("e1"), 1.0)
    assert not register.add(create_report("e1"), 1.1)
    register.add(create_report("e1", started_at=2), 2.0)
    assert not is_refused(register, REQUEST, 2.0)
    register.add(create_report("e2"), 3.0)
    assert is_refused(register, REQUEST, 3.0)
    assert not is_refused(register, CrashSuspect(fingerprint=b"g"), 3.0)
    assert not is_refused(register, REQUEST, 200.0)
    register.add_loss(EndpointStart(endpoint_id="e3", started_at=1), "a", 2000.0)
    register.review(2000.0)
    assert len(register._evidence.list_crashes()) == 1
    assert not register._evidence._suspected


def test_crash_reports_expire():
    """Guards against reports that hosts send back and forth forever."""
    register = CrashRegister()
    register.add(create_report("e1"), 1.0)
    register.add(create_report("e1"), 2.0)
    assert [report.process.endpoint_id for report in register.list_reports(2.4)] == ["e1"]
    assert register.list_reports(2.6) == ()
    assert not register.add(create_report("e1"), 3.0)
    assert register.list_reports(3.0) == ()


def test_a_common_cause_is_detected():
    """Guards against blaming requests for a crash when several engines were lost together."""
    register = CrashRegister()
    for now in (5.0, 10.0, 15.0):
        started_at = int(now)
        register.add(create_report("e1", started_at), now)
        register.add_loss(EndpointStart(endpoint_id="e3", started_at=started_at), "b", now + 0.1)
    assert is_refused(register, REQUEST, 16.0)
    register.add_loss(EndpointStart(endpoint_id="e2", started_at=1), "a", 15.15)
    assert not is_refused(register, REQUEST, 16.0)


def test_one_request_that_is_repeated_does_not_accuse_its_parts():
    """Guards against refusing all callers of a part because of one request that has it."""
    register = CrashRegister()
    for now in range(5):
        register.add(create_report("e1", now, create_suspect(1, FIRST)), float(now))
    assert not is_part_refused(register, FIRST, 5.0)
    assert is_refused(register, create_suspect(1, FIRST), 5.0)


def crash_with_part(register, count, *, start=0.0, parts=(FIRST, DEADLY)):
    """Let engines crash under requests, no two alike, a second after each other."""
    for number in range(count):
        suspect = create_suspect(number, *parts)
        register.add(create_report("e", 100 + number, suspect), start + number)


def test_a_part_that_requests_share_is_refused():
    """Guards against requests, no two alike, that crash endpoint after endpoint (BUDGET)."""
    register = CrashRegister()
    crash_with_part(register, 3)
    assert is_part_refused(register, DEADLY, 3.0)
    assert not is_refused(register, CrashSuspect(fingerprint=b"sound"), 3.0)


def test_a_part_that_sound_requests_share_with_crash_causing_ones_is_not_refused():
    """Guards against refusing a whole route with the part that its requests share (LOST)."""
    register = CrashRegister()
    for number in range(8):
        register.add_survival(create_suspect(1000 + number, FIRST), number / 10)
    crash_with_part(register, 5, start=1.0)
    assert is_part_refused(register, DEADLY, 6.0)
    assert not is_part_refused(register, FIRST, 6.0)


def test_a_request_that_survives_clears_its_parts():
    """Guards against refusing a sound part although its requests have run since (LOST)."""
    register = CrashRegister()
    crash_with_part(register, 4, parts=(FIRST,))
    assert is_part_refused(register, FIRST, 4.0)
    register.add_survival(create_suspect(50, FIRST), 5.0)
    assert not is_part_refused(register, FIRST, 5.0)


def test_crashes_with_a_known_cause_do_not_accuse_the_requests_beside_it():
    """Guards against refusing requests that were read beside crash-causing ones (LOST)."""
    register = CrashRegister()
    for number in range(5):
        for suspect in (create_suspect(number, DEADLY), create_suspect(7, FIRST)):
            register.add(create_report("e", number, suspect), float(number))
    assert is_part_refused(register, DEADLY, 5.0)
    assert not is_refused(register, create_suspect(7, FIRST), 5.0)


def test_the_wrong_one_of_two_parts_is_followed_by_the_right_one():
    """Guards against three more crashes when a part that always came with the cause is refused."""
    register = CrashRegister()
    crash_with_part(register, 4, parts=(DEADLY, FIRST))
    assert is_part_refused(register, FIRST, 4.0)
    assert not is_part_refused(register, DEADLY, 4.0)
    register.add(create_report("e", 300, create_suspect(90, DEADLY)), 5.0)
    assert is_part_refused(register, DEADLY, 5.0)


def test_a_host_that_starts_learns_the_cause():
    """Guards against a restarted host that sends each crash-causing request once more (BUDGET)."""
    register, started = CrashRegister(), CrashRegister()
    crash_with_part(register, 10)
    assert is_part_refused(register, DEADLY, 30.0)
    for report in register.list_reports(30.0):
        started.add(report, 30.1)
    assert is_part_refused(started, DEADLY, 30.1)
    assert not is_part_refused(started, DEADLY, 9.0 + 121)


def test_a_cause_is_tried_again_less_and_less_often():
    """Guards against trials that crash more engines than three after the fifth (BUDGET)."""
    register = CrashRegister()
    crash_with_part(register, 5, parts=(DEADLY,))
    trials = []
    for second in range(5, 120):
        register.review(float(second))
        for blame in register.list_causes(create_suspect(90, DEADLY)):
            if blame.is_trial_due(second):
                trials.append(second)
                suspect = create_suspect(1000 + second, DEADLY)
                register.add(create_report("e", second, suspect), float(second))
    assert trials == [19, 57]


def test_the_loss_of_domains_does_not_displace_the_proofs_of_a_cause():
    """Guards against a part that is sent again as a large fleet loses many engines (BUDGET)."""
    register = CrashRegister()
    crash_with_part(register, 4)
    assert is_part_refused(register, DEADLY, 4.0)
    for number in range(2 * MAX_CRASHES):
        report = create_report("e", 1000 + number, create_suspect(1000 + number), "b")
        register.add(report, 5.0 + number / 100)
    assert is_part_refused(register, DEADLY, 30.0)


def test_a_survival_that_a_peer_has_seen_counts():
    """Guards against refusing a part on a host where no request with it has run (LOST)."""
    seen, other = CrashRegister(), CrashRegister()
    seen.add_survival(create_suspect(1000, FIRST), 3.5)
    crash_with_part(seen, 4, parts=(FIRST,))
    crash_with_part(other, 4, parts=(FIRST,))
    assert is_part_refused(other, FIRST, 4.0)
    for report in seen.list_survivals(4.0):
        other.merge_survival(report, 4.0)
    assert not is_part_refused(other, FIRST, 4.0)


def test_an_old_survival_does_not_hide_a_later_one_from_the_peers():
    """Guards against a part that stays refused on hosts that have not seen it survive (LOST)."""
    register = CrashRegister()
    crash_with_part(register, 5, parts=(FIRST,))
    key = CrashSuspect(fingerprint=b"x", parts=(FIRST,)).keys[1]
    register.merge_survival(SurvivalReport(key=key, count=1.0, age_seconds=60.0), 5.0)
    assert is_part_refused(register, FIRST, 5.0)
    assert register.add_survival(create_suspect(50, FIRST), 10.0)
    assert [report.key for report in register.list_survivals(10.0)] == [key]
    assert not is_part_refused(register, FIRST, 10.0)


def test_a_cause_that_is_retried_after_a_while_is_refused_at_its_first_crash():
    """Guards against three more crashes each time that a refusal expires."""
    register = CrashRegister()
    crash_with_part(register, 5)
    assert not is_part_refused(register, DEADLY, 200.0)
    register.add(create_report("e", 900, create_suspect(90, FIRST, DEADLY)), 201.0)
    assert is_part_refused(register, DEADLY, 201.0)


@pytest.mark.parametrize("seed", range(20))
def test_the_cause_is_found_among_sound_requests(seed):
    """Guards against both errors: a cause found too late, and sound requests refused.

    Sound requests share the first part, some of them a second one, and are read beside the
    crash-causing ones. Other engines crash for no reason.
    """
    rng = random.Random(seed)
    register = CrashRegister()
    second_parts = [b"second %d" % number for number in range(4)]
    deadly_crashes, refused_since, sound_refusals = 0, None, 0
    for step in range(600):
        now = step / 10
        sound = [
            create_suspect(10 * step + number, FIRST, rng.choice(second_parts))
            for number in range(rng.choice((0, 1, 2)))
        ]
        if is_part_refused(register, DEADLY, now):
            refused_since = refused_since or now
        elif rng.random() < 0.1:
            suspects = [create_suspect(10 * step + 9, FIRST, DEADLY, second_parts[0]), *sound]
            deadly_crashes += 1
            for suspect in suspects:
                register.add(create_report("e", step, suspect, rng.choice("abc")), now)
            continue
        if rng.random() < 0.05:
            for suspect in sound:
                register.add(create_report("e", step, suspect, rng.choice("abc")), now)
            continue
        for suspect in sound:
            if is_refused(register, suspect, now):
                sound_refusals += now > 20
            else:
                register.add_survival(suspect, now)
    assert refused_since is not None and deadly_crashes <= 5
    assert sound_refusals == 0
