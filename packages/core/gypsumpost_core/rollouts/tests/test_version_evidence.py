"""Tests of the evidence that hosts collect and exchange."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome
from gypsumpost_core.rollouts.canary_endpoints import select_canary_endpoints
from gypsumpost_core.rollouts.evidence_report import EvidenceReport
from gypsumpost_core.rollouts.version_count import VersionCount
from gypsumpost_core.rollouts.version_evidence import SLOW_FACTOR, WINDOW_MS, VersionEvidence

NOW_MS = 1_800_000_000_000


def build_host(host_id: str, domain: str, epoch: int = 1) -> VersionEvidence:
    evidence = VersionEvidence(host_id=host_id, failure_domain=domain, epoch=epoch)
    evidence.start("s", "2")
    return evidence


def serve(
    evidence: VersionEvidence,
    now_ms: int,
    version: str = "2",
    outcome: AnswerOutcome = AnswerOutcome.SERVED,
    took_ms: int = 100,
) -> None:
    sent = evidence.record_sent(
        service="s", version=version, route="a", endpoint_id="e", now_ms=now_ms - took_ms
    )
    assert sent is not None
    evidence.record_answer(sent, outcome, now_ms)


def count(evidence: VersionEvidence, now_ms: int, version: str = "2") -> VersionCount:
    return evidence.sum_counts("s", now_ms).count(lambda key: key.version == version)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_lost_repeated_and_late_reports_change_no_sum(seed: int) -> None:
    """Guards against evidence that is lost or counted twice."""
    rng = random.Random(seed)
    hosts = [build_host(f"h{n}", f"d{n % 2}") for n in range(4)]
    reader = build_host("r", "d0")
    answers, epoch = 0, 1
    sent: list[tuple[EvidenceReport, bool]] = []
    for now_ms in range(NOW_MS, NOW_MS + 6 * WINDOW_MS, 250):
        for host in rng.choices(hosts, k=3):
            serve(host, now_ms)
            answers += 1
        if rng.random() < 0.1:
            # A host that starts again has reported before.
            reader.merge(hosts[0].snapshot(now_ms), of_domain=False, now_ms=now_ms)
            epoch += 1
            hosts[0] = build_host("h0", "d0", epoch)
        hosts[3].merge(hosts[1].snapshot(now_ms), of_domain=False, now_ms=now_ms)
        sent.append((hosts[0].snapshot(now_ms), False))
        sent.append((hosts[2].snapshot(now_ms), False))
        sent.append((hosts[3].sum_domain(now_ms), True))
        for report, of_domain in rng.choices(sent[-12:], k=4):
            reader.merge(report, of_domain=of_domain, now_ms=now_ms)
        for report, of_domain in sent[-3:]:
            # Each report is repeated for several windows, so the last of them is enough.
            if now_ms % WINDOW_MS >= WINDOW_MS - 250:
                reader.merge(report, of_domain=of_domain, now_ms=now_ms)
    assert count(reader, now_ms).answers == answers
    assert count(reader, now_ms + 40 * WINDOW_MS).answers == answers
    for report, of_domain in sent:
        reader.merge(report, of_domain=of_domain, now_ms=now_ms + 40 * WINDOW_MS)
    assert count(reader, now_ms + 40 * WINDOW_MS).answers == answers


def test_a_request_counts_as_slow_before_its_answer() -> None:
    """Guards against a slow version whose answers arrive after the roll-out."""
    host = build_host("h", "d")
    for _ in range(5):
        serve(host, NOW_MS, version="1")
    host.sum_counts("s", NOW_MS)
    sent = host.record_sent(service="s", version="2", route="a", endpoint_id="e", now_ms=NOW_MS)
    assert sent is not None
    overdue_ms = NOW_MS + int(SLOW_FACTOR * 100) + 1
    assert count(host, overdue_ms - 1).slow == 0
    assert count(host, overdue_ms).slow == 1
    host.record_answer(sent, AnswerOutcome.SERVED, overdue_ms + 500)
    assert (count(host, overdue_ms + 500).slow, count(host, overdue_ms + 500).timed) == (1, 1)


def test_a_stream_that_fails_after_its_begin_is_one_answer() -> None:
    """Guards against counting a request twice, and against losing its failure."""
    host = build_host("h", "d")
    sent = host.record_sent(service="s", version="2", route="a", endpoint_id="e", now_ms=NOW_MS)
    assert sent is not None
    host.record_answer(sent, AnswerOutcome.SERVED, NOW_MS + 100)
    host.record_answer(sent, AnswerOutcome.FAILED, NOW_MS + 900)
    host.record_answer(sent, AnswerOutcome.FAILED, NOW_MS + 950)
    host.record_shared_failure(sent, NOW_MS + 990)
    total = count(host, NOW_MS + 1_000)
    assert (total.answers, total.failures, total.shared) == (1, 1, 1)


def test_a_request_without_an_answer_counts_as_slow_once() -> None:
    """Guards against a version that hangs and has no bad answer, and against counting it twice."""
    host = build_host("h", "d")
    serve(host, NOW_MS, outcome=AnswerOutcome.TIMED_OUT)
    assert (count(host, NOW_MS).slow, count(host, NOW_MS).timed) == (1, 1)
    sent = host.record_sent(service="s", version="2", route="a", endpoint_id="e", now_ms=NOW_MS)
    assert sent is not None
    host.record_answer(sent, AnswerOutcome.SERVED, NOW_MS + 100)
    host.record_answer(sent, AnswerOutcome.TIMED_OUT, NOW_MS + 900)
    assert (count(host, NOW_MS + 900).slow, count(host, NOW_MS + 900).answers) == (1, 2)


def test_lost_connections_and_services_without_a_rollout_are_not_counted() -> None:
    """Guards against evidence from a cut link, and counts that nobody reads."""
    host = build_host("h", "d")
    sent = host.record_sent(service="s", version="2", route="a", endpoint_id="e", now_ms=NOW_MS)
    assert sent is not None
    host.forget(sent)
    assert count(host, NOW_MS + 60_000).answers == 0
    other = host.record_sent(service="t", version="2", route="a", endpoint_id="e", now_ms=NOW_MS)
    assert other is None


def test_another_target_discards_the_evidence() -> None:
    """Guards against evidence about an earlier order."""
    host = build_host("h", "d")
    serve(host, NOW_MS, outcome=AnswerOutcome.FAILED)
    host.start("s", "2")
    assert count(host, NOW_MS).failures == 1
    host.start("s", "3")
    assert host.sum_counts("s", NOW_MS).rows == ()


def test_few_endpoints_take_the_load_of_as_many_old_ones() -> None:
    """Guards against a version that is bad under load only and never gets any."""
    endpoints = [f"e{n}" for n in range(100)]
    selected = select_canary_endpoints(endpoints, "s", 0.08, 100)
    assert len(selected) == 8
    assert selected == select_canary_endpoints(reversed(endpoints), "s", 0.08, 100)
    assert set(selected) < set(select_canary_endpoints(endpoints, "s", 0.2, 100))
    assert len(select_canary_endpoints(endpoints[:2], "s", 0.08, 100)) == 2
