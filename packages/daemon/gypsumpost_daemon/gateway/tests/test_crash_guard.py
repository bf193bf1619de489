"""Tests of the guard against crash-causing requests."""

import trio

from gypsumpost_core.crashes.blame import TRIAL_SECONDS
from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.run_progress import SURVIVAL_SECONDS, RunProgress
from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.route import Route
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.crash_guard import CrashGuard
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.telemetry.metrics import Metrics

PART = b"part"
ROUTE = Route(
    name="write",
    host="a.example",
    prefix="/write/",
    kind=RequestKind.STREAM,
    shares=(),
    timeout=10.0,
    objective=2.0,
    max_attempts=5,
)
RECORD = EndpointRecord(
    endpoint_id="e",
    service="model",
    address="127.0.0.1:1",
    failure_domain="a",
    slots=8,
    leaving=False,
    started_at=1,
)


def create_call(number):
    now = trio.current_time()
    return CallerCall(
        request_id=f"r-{number}",
        method="POST",
        path="/write/",
        headers=(),
        body=b"%d" % number,
        route=ROUTE,
        service="model",
        workspace="",
        fingerprint=b"%d" % number,
        priority=0,
        received_at=now,
        deadline=now + 10,
        shared_parts=(PART,),
    )


def create_guard(*, responsible=True):
    return CrashGuard(
        fleet=EndpointFleet(),
        metrics=GatewayMetrics(metrics=Metrics()),
        is_responsible=lambda key: responsible,
    )


async def refuse_part(guard):
    """Let three engines crash under three requests with the part, a second after each other."""
    for number in range(3):
        report = CrashReport(
            suspect=create_call(number).suspect,
            process=EndpointStart(endpoint_id="e", started_at=100 + number),
            failure_domain="a",
        )
        guard.add_report(report, trio.current_time())
        await trio.sleep(1)
    assert guard.find_cause(create_call(10)) is not None


async def test_one_request_at_a_time_tries_a_cause_again(autojump_clock):
    """Guards against all requests that wait for the end of a refusal crashing engines at once."""
    guard = create_guard()
    await refuse_part(guard)
    await trio.sleep(TRIAL_SECONDS)
    first, second = create_call(11), create_call(12)
    assert guard.find_cause(first) is None
    assert guard.find_cause(first) is None and guard.find_cause(second) is not None
    guard.record_survival(first)
    assert guard.find_cause(second) is None


async def test_a_trial_that_crashes_an_engine_is_the_only_one(autojump_clock):
    """Guards against repeats of a request that was let through to try a cause again."""
    guard = create_guard()
    await refuse_part(guard)
    await trio.sleep(TRIAL_SECONDS)
    trial = create_call(11)
    assert guard.find_cause(trial) is None
    await trio.sleep(1)
    process = EndpointStart(endpoint_id="e", started_at=200)
    report = CrashReport(suspect=trial.suspect, process=process, failure_domain="a")
    guard.add_report(report, trio.current_time())
    assert guard.find_cause(trial) is not None and guard.find_cause(create_call(12)) is not None


async def test_other_hosts_leave_the_trial_to_the_responsible_one(autojump_clock):
    """Guards against a crash at each host when a refusal has lasted for a while."""
    guard = create_guard(responsible=False)
    await refuse_part(guard)
    await trio.sleep(TRIAL_SECONDS)
    assert guard.find_cause(create_call(11)) is not None


async def test_requests_that_survived_or_whose_endpoint_only_went_silent_are_not_blamed():
    """Guards against blaming streams that were written for seconds, and cut-off engines."""
    for refused, written in ((True, SURVIVAL_SECONDS), (False, None)):
        guard = create_guard()
        guard._fleet.put(RECORD)
        guard._fleet.mark_lost("e", 1, trio.current_time(), refused=refused)
        progress = RunProgress(sent_seconds=1.0, written_seconds=written)
        guard.record_crash(create_call(1), RECORD, progress)
        assert guard.list_reports(trio.current_time()) == ()
        guard._fleet.mark_lost("e", 1, trio.current_time(), refused=True)
        guard.record_crash(create_call(1), RECORD, RunProgress(sent_seconds=1.0))
        assert len(guard.list_reports(trio.current_time())) == 1
