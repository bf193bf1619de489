"""One run of the experiment ``path``: complete daemons between fake engines and load clients."""

import contextlib
import json
import signal
import time

import attrs
import trio

from gypsumpost_bench.deployment import KEYS, Deployment, DeploymentPlan
from gypsumpost_bench.process_usage import read_processor_time
from gypsumpost_bench.token_path_plan import TokenPathPlan
from gypsumpost_bench.token_path_run import (
    CLIENTS,
    ENGINES,
    TokenPathFigures,
    create_plan,
    read_line,
    start_client,
    start_process,
    summarize,
)

HOME, HOLDER = "d1-host1", "d2-host1"
PROFILED_CODE = "import gypsumpost_bench.profiled_daemon as m; m.main()"
PROFILE_SECONDS = 10.0
"""Time for a stopped daemon to write its profile."""


@attrs.frozen(kw_only=True)
class PathCase:
    """Configuration of one run.

    :param placement: a name of the registry ``copy-placement``.
    :param rate: offered tokens per second, all at the home daemon.
    :param holders: number of daemons in each domain; those of the other domain share the copies.
    :param profiled: true to run the daemons under the profiler.
    """

    placement: str
    rate: int
    holders: int = 1
    profiled: bool = False


@attrs.frozen(kw_only=True)
class PathFigures:
    """The figures of one run.

    :param path: figures of the load clients, and the home daemon's processor time per token.
    :param home_load: cores that the home daemon used in the window without new connections.
    :param holder_load: as ``home_load``, for the holder of the copies.
    :param holder_microseconds: processor time of the holder per token.
    """

    path: TokenPathFigures
    home_load: float
    holder_load: float
    holder_microseconds: float


def run_path(case: PathCase, *, quick: bool) -> PathFigures:
    """Run one case in separate processes and return its figures.

    :param case: the configuration.
    :param quick: true for short windows.
    """
    with contextlib.ExitStack() as stack:
        engines = [stack.enter_context(start_process("token_path_engine")) for _ in range(ENGINES)]
        plan = DeploymentPlan(
            domains=("d1", "d2"),
            hosts_per_domain=case.holders,
            token_gaps=(),
            platform=False,
            services=0,
            daemon_flags=("--copy-placement", case.placement, "--stop-deadline", "0"),
            engine_addresses=tuple(map(read_line, engines)),
        )
        if case.profiled:
            plan = attrs.evolve(plan, daemon_code=PROFILED_CODE)
        return trio.run(_run_deployment, plan, case, quick)


async def _run_deployment(plan: DeploymentPlan, case: PathCase, quick: bool) -> PathFigures:
    async with Deployment(plan=plan) as deployment:
        figures = _run_clients(deployment, create_plan(case.rate, quick))
        if case.profiled:
            for daemon in deployment.daemons.values():
                daemon.process.send_signal(signal.SIGTERM)
                daemon.process.wait(PROFILE_SECONDS)
        return figures


def _run_clients(deployment: Deployment, plan: TokenPathPlan) -> PathFigures:
    address = deployment.daemons[HOME].address
    plan = attrs.evolve(plan, key=KEYS["laurentides"], end_events=1)
    with contextlib.ExitStack() as stack:
        clients = [stack.enter_context(start_client(address, plan)) for _ in range(CLIENTS)]
        time.sleep(plan.steady_start - time.monotonic())
        before = _read_usage(deployment)
        time.sleep(plan.steady_end - time.monotonic())
        used = [after - start for after, start in zip(_read_usage(deployment), before, strict=True)]
        results = [json.loads(read_line(client)) for client in clients]
    seconds = plan.steady_end - plan.steady_start
    path = summarize(results, used[0], seconds)
    return PathFigures(
        path=path,
        home_load=used[0] / seconds,
        holder_load=used[1] / seconds,
        holder_microseconds=used[1] / max(path.rate * seconds, 1) * 1e6,
    )


def _read_usage(deployment: Deployment) -> list[float]:
    return [read_processor_time(deployment.daemons[name].process.pid) for name in (HOME, HOLDER)]
