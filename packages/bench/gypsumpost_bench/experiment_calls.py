"""Experiment ``calls``: store writes of non-idempotent calls and the correctness of run states."""

import random
from collections.abc import Awaitable, Callable

import orjson
import trio

from gypsumpost_bench.call_cluster import CallCluster
from gypsumpost_bench.call_counts import CallCounts, read_run_state
from gypsumpost_bench.call_faults import inject_random_faults
from gypsumpost_bench.claim_load import ClaimLoad
from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind
from gypsumpost_bench.store_limits import StoreLimits
from gypsumpost_core.run_state import RunState

DOMAINS = ("d1", "d1", "d2", "d2", "d3", "d3")
STORE_LATENCY_SECONDS = 0.002
CALLS_PER_SECOND = 1000
UNLIMITED = 1e9
CALLERS = 100
SETTLE_SECONDS = 3.0
"""Time after the last call for pending retries, which count as attempts too."""
QUICK_CALLS = 1000
FULL_CALLS = 5000
QUICK_KEYS = 60
FULL_KEYS = 400
DUPLICATES = 3
SEED = 20
MAX_STORE_ATTEMPTS = 1.1

Run = Callable[[CallCluster], Awaitable[None]]


@EXPERIMENTS.register("calls")
def run_calls(*, quick: bool) -> list[ExperimentRow]:
    """Measure store writes, a store outage, and duplicates under faults.

    :param quick: true for fewer calls.
    """
    calls = QUICK_CALLS if quick else FULL_CALLS
    keys = QUICK_KEYS if quick else FULL_KEYS
    return [*measure_writes(calls), *measure_outage(calls), *measure_faults(keys)]


def measure_writes(calls: int) -> list[ExperimentRow]:
    """Measure store calls and served calls, with batches and with one write per claim and outcome.

    :param calls: number of calls.
    """
    writes, served = {}, {}
    for mode in ("batched", "write-per-call"):
        limits = StoreLimits()
        cluster = _create_cluster(limits, mode)
        load = ClaimLoad(modes=cluster.modes, calls_per_second=CALLS_PER_SECOND)
        _run_cluster(cluster, lambda running_cluster, load=load: load.run(calls))  # type: ignore[misc]
        writes[mode] = limits.write_count / calls
        served[mode] = load.answered / calls
    note = (
        f"{calls} calls at {CALLS_PER_SECOND}/s (claim and outcome, no service) over "
        f"{len(DOMAINS)} daemons in 3 domains; store limited to 500 writes/s"
    )
    return [
        ExperimentRow(
            name="store calls per non-idempotent call",
            unit="writes",
            figure=writes["batched"],
            baseline=writes["write-per-call"],
            baseline_name="write-per-call",
            note=note,
        ),
        ExperimentRow(
            name="calls whose claim and outcome the store took",
            unit="share",
            figure=served["batched"],
            baseline=served["write-per-call"],
            baseline_name="write-per-call",
            note=note,
        ),
    ]


def measure_outage(calls: int) -> list[ExperimentRow]:
    """Measure calls in a store outage: issued keys, and chosen keys, whose calls are refused.

    :param calls: number of calls of each kind.
    """
    issued, refused = CallCounts(), CallCounts()
    limits = StoreLimits(writes_per_second=UNLIMITED)

    async def run(cluster: CallCluster) -> None:
        keys = await _issue_keys(cluster, calls)
        # Lost answers are the harder outage: the writes take effect, so each refused call leaves
        # a claim in the store.
        cluster.store.faults.inject(StoreFault(kind=StoreFaultKind.LOSE_ANSWERS))
        await _send_calls(cluster, calls, keys, issued)
        before = limits.call_count
        await _send_calls(cluster, calls, [""], refused)
        await trio.sleep(SETTLE_SECONDS)
        attempts.append((limits.call_count - before) / calls)

    attempts: list[float] = []
    _run_cluster(_create_cluster(limits, "write-per-call"), run)
    return [
        ExperimentRow(
            name="calls served in a store outage with issued keys",
            unit="share",
            figure=issued.served / calls,
            baseline=refused.served / calls,
            baseline_name="chosen keys, refused with not_run",
            note=f"{calls} calls of each kind, {refused.refused} refused with not_run",
        ),
        ExperimentRow(
            name="longest stall in a store outage with issued keys",
            unit="s",
            figure=issued.longest,
            baseline=refused.longest,
            baseline_name="chosen keys, refused with not_run",
            note=f"{CALLERS} callers at once; callers, daemons and services share one process, "
            "so the time is mostly theirs for processing HTTP",
        ),
        ExperimentRow(
            name="store attempts per call in a store outage",
            unit="attempts",
            figure=attempts[0],
            target="at most 1.1",
            met=attempts[0] <= MAX_STORE_ATTEMPTS,
            note="every answer lost; write-per-call, so that each attempt is one call to the store",
        ),
    ]


def measure_faults(keys: int) -> list[ExperimentRow]:
    """Count duplicate executions and false ``not_run`` answers of racing calls under random faults.

    :param keys: number of keys, each sent several times.
    """
    rng = random.Random(SEED)
    false_answers: list[str] = []
    answers: list[str] = []
    cluster = _create_cluster(StoreLimits(), "batched")

    async def send(running_cluster: CallCluster, key: str, attempt: int) -> None:
        daemon = rng.randrange(len(DOMAINS))
        response = await running_cluster.call(
            daemon, idempotency_key=key, x_call_id=key, x_call_attempt=str(attempt)
        )
        state = read_run_state(response)
        answers.append(state)
        if state == RunState.NOT_RUN.value and running_cluster.count_executions()[key]:
            false_answers.append(key)

    async def send_duplicates(running_cluster: CallCluster, number: int) -> None:
        # Every second caller first sends attempt 1, which declares that the call was not sent
        # before, and waits for its answer.
        key = f"key-{number}"
        if number % 2:
            await send(running_cluster, key, 1)
        async with trio.open_nursery() as racing:
            for attempt in range(2, 2 + DUPLICATES):
                racing.start_soon(send, running_cluster, key, attempt)

    async def run(running_cluster: CallCluster) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inject_random_faults, running_cluster, rng)
            async with trio.open_nursery() as callers:
                for number in range(keys):
                    callers.start_soon(send_duplicates, running_cluster, number)
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    _run_cluster(cluster, run)
    executions = cluster.count_executions()
    duplicates = sum(count - 1 for count in executions.values())
    note = (
        f"{keys} keys, {DUPLICATES} racing duplicates each, at {len(DOMAINS)} daemons, "
        f"seed {SEED}; "
        f"{len(executions)} run, answers: {answers.count('')} of the service, "
        f"{answers.count('not_run')} not_run, {answers.count('unknown')} unknown"
    )
    return [
        _create_zero_row("duplicates of non-idempotent calls", duplicates, note),
        _create_zero_row("false not_run", len(false_answers), note),
    ]


def _create_zero_row(name: str, count: int, note: str) -> ExperimentRow:
    return ExperimentRow(
        name=name, unit="calls", figure=count, target="0", met=count == 0, note=note
    )


def _create_cluster(limits: StoreLimits, mode: str) -> CallCluster:
    store = MemoryStore(limits=limits, latency=STORE_LATENCY_SECONDS)
    return CallCluster(store=store, claim_mode=mode, domains=DOMAINS)


def _run_cluster(cluster: CallCluster, run: Run) -> None:
    async def start_and_run() -> None:
        async with trio.open_nursery() as nursery:
            await cluster.start(nursery)
            await run(cluster)
            await trio.sleep(1.0)  # Outcomes are written after the calls are answered.
            nursery.cancel_scope.cancel()

    trio.run(start_and_run)


async def _issue_keys(cluster: CallCluster, calls: int) -> list[str]:
    keys: list[str] = []
    for number in range(calls):
        response = await cluster.call(number % len(DOMAINS), "/keys")
        keys.append(orjson.loads(response.body)["key"])
    return keys


async def _send_calls(
    cluster: CallCluster, calls: int, keys: list[str], counts: CallCounts
) -> None:
    # For an empty key the caller chooses a new key for each call.
    numbers = iter(range(calls))

    async def call() -> None:
        for number in numbers:
            key = keys[number % len(keys)] or f"chosen-{number}"
            started_at = trio.current_time()
            response = await cluster.call(
                number % len(DOMAINS), idempotency_key=key, x_call_id=key, x_call_attempt="1"
            )
            counts.record(response, trio.current_time() - started_at)

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(call)
