"""Slopes of requests at a daemon process: processor time, and memory until answers are deleted."""

import contextlib

import trio

from gypsumpost_bench.deployment import KEYS, Deployment, DeploymentPlan
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.line_fit import create_slope_row
from gypsumpost_bench.path_run import HOLDER, HOME
from gypsumpost_bench.process_usage import read_processor_time, read_resident_bytes
from gypsumpost_bench.token_path_run import read_line, start_process
from gypsumpost_cli.answer_client import AnswerClient

ROUNDS = (100, 200, 300, 400)
CALLERS = 8
TOKENS = 2


def measure_requests() -> list[ExperimentRow]:
    """Measure requests with answers of two tokens, all sent to the same one of two daemons."""
    with contextlib.ExitStack() as stack:
        engine = stack.enter_context(start_process("token_path_engine"))
        plan = DeploymentPlan(
            domains=("d1", "d2"), token_gaps=(), engine_addresses=(read_line(engine),)
        )
        points = trio.run(_send_rounds, plan)
    note = f"answers of {TOKENS} tokens, {CALLERS} callers, copies to a second daemon"
    return [
        create_slope_row("home processor time per request", "us", points[0], note),
        create_slope_row("holder processor time per request", "us", points[1], note),
        create_slope_row(
            "resident memory of the home per request of the last minute",
            "bytes",
            points[2],
            f"{note}; against the sum of requests so far",
        ),
    ]


async def _send_rounds(plan: DeploymentPlan) -> list[list[tuple[float, float]]]:
    points: list[list[tuple[float, float]]] = [[], [], []]
    async with Deployment(plan=plan) as deployment:
        home, holder = (deployment.daemons[name] for name in (HOME, HOLDER))
        client = AnswerClient(addresses=[home.address], key=KEYS["laurentides"])
        sent = 0
        for count in ROUNDS:
            before = [read_processor_time(each.process.pid) for each in (home, holder)]
            await _send_round(client, count)
            sent += count
            for number, daemon in enumerate((home, holder)):
                used = read_processor_time(daemon.process.pid) - before[number]
                points[number].append((count, used * 1e6))
            points[2].append((sent, read_resident_bytes(home.process.pid)))
        await client.aclose()
    return points


async def _send_round(client: AnswerClient, count: int) -> None:
    numbers = iter(range(count))

    async def call() -> None:
        for _ in numbers:
            body = {"model": "summary", "prompt": "p", "max_tokens": TOKENS}
            answer = await client.generate(body)
            if answer.error is not None:
                raise RuntimeError(f"a request failed: {answer.error}")

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(call)
