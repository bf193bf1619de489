"""One run of the token-path experiment in separate processes."""

import contextlib
import http.client
import json
import math
import subprocess
import sys
import time
from collections.abc import Iterator

import attrs

from gypsumpost_bench.quantiles import find_quantile
from gypsumpost_bench.token_path_engine import TOKEN_SECONDS
from gypsumpost_bench.token_path_plan import TokenPathPlan
from gypsumpost_daemon.addresses import split_address

ENGINES = 2
CLIENTS = 2
DIRECT = "direct"
RAMP_SECONDS = 2.5
SETTLE_SECONDS = 0.7
PROBES_PER_SECOND = 10
BURST = 100


@attrs.frozen(kw_only=True)
class TokenPathCase:
    """Configuration of one run.

    :param server: a name of the registry ``http-server``; ``direct`` connects the load clients to
        the engines without a relay, which gives the overhead of the clients and the machine.
    :param transport: a name of the registry ``engine-transport``.
    :param coalescing: a name of the registry ``coalescing``.
    :param rate: offered tokens per second.
    """

    server: str
    transport: str
    coalescing: str
    rate: int


@attrs.frozen(kw_only=True)
class TokenPathFigures:
    """The figures of one run.

    :param microseconds: processor time of the relay per token, in the window without new
        connections.
    :param rate: delivered tokens per second in that window.
    :param gap_p95: p95 of the gaps between tokens in that window, in milliseconds.
    :param first_p95: p95 of the time added to the first token with 10 new connections per second,
        in milliseconds.
    :param burst_first_p95: as ``first_p95``, with 100 new connections in one second.
    :param burst_gap_p95: p95 of the gaps between tokens during those 100 connections, in
        milliseconds.
    :param incomplete: number of short streams that did not end with all their tokens.
    """

    microseconds: float
    rate: float
    gap_p95: float
    first_p95: float
    burst_first_p95: float
    burst_gap_p95: float
    incomplete: int


@contextlib.contextmanager
def start_process(module: str, *arguments: str) -> Iterator[subprocess.Popen[str]]:
    """Start a module of this package; terminate it at the exit, also after an error.

    :param module: name of the module.
    :param arguments: its command line.
    """
    command = [sys.executable, "-m", f"gypsumpost_bench.{module}", *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        yield process
    finally:
        process.terminate()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()


def read_line(process: subprocess.Popen[str]) -> str:
    """Return the next line that a process prints.

    :raises RuntimeError: if the process ended or printed an empty line.
    """
    assert process.stdout is not None
    line = process.stdout.readline().strip()
    if not line:
        raise RuntimeError(f"process {process.args!r} ended early")
    return line


def read_usage(address: str) -> float:
    """Return the processor seconds that the relay has used."""
    connection = http.client.HTTPConnection(*split_address(address), timeout=30)
    connection.request("GET", "/usage")
    usage = json.loads(connection.getresponse().read())
    connection.close()
    return float(usage)


def start_client(
    address: str, plan: TokenPathPlan
) -> contextlib.AbstractContextManager[subprocess.Popen[str]]:
    """Start a load client.

    :param address: ``ip:port`` that it connects to.
    :param plan: its schedule.
    """
    argument = json.dumps({"address": split_address(address), "plan": attrs.asdict(plan)})
    return start_process("token_path_client", argument)


def measure_usage(relay: str, plan: TokenPathPlan) -> float:
    """Return the processor seconds that the relay uses in the window without new connections.

    :param relay: ``ip:port`` of the relay.
    :param plan: schedule of the run.
    """
    time.sleep(plan.steady_start - time.monotonic())
    before = read_usage(relay)
    time.sleep(max(plan.steady_end - time.monotonic(), 0))
    return read_usage(relay) - before


def create_plan(rate: int, quick: bool) -> TokenPathPlan:
    """Return the schedule, which all load clients use.

    :param rate: offered tokens per second of all clients.
    :param quick: true for short windows.
    """
    start = time.monotonic() + 0.5
    steady_start = start + RAMP_SECONDS + SETTLE_SECONDS
    steady_end = steady_start + (1.5 if quick else 4)
    probe_seconds = 1.0 if quick else 4.0
    burst_start = steady_end + probe_seconds + 1
    return TokenPathPlan(
        start=start,
        ramp_end=start + RAMP_SECONDS,
        steady_start=steady_start,
        steady_end=steady_end,
        burst_start=burst_start,
        end=burst_start + 3,
        streams=round(rate * TOKEN_SECONDS / CLIENTS),
        probes=round(probe_seconds * PROBES_PER_SECOND / CLIENTS),
        burst=BURST // CLIENTS,
    )


def run_case(case: TokenPathCase, *, quick: bool) -> TokenPathFigures:
    """Run one case and return its figures.

    :param case: the configuration.
    :param quick: true for short windows.
    """
    with contextlib.ExitStack() as stack:
        engines = [stack.enter_context(start_process("token_path_engine")) for _ in range(ENGINES)]
        addresses = [read_line(engine) for engine in engines]
        relay = ""
        if case.server != DIRECT:
            names = (case.server, case.transport, case.coalescing)
            process = stack.enter_context(start_process("token_path_relay", *names, *addresses))
            relay = read_line(process)
            addresses = [relay] * CLIENTS
        plan = create_plan(case.rate, quick)
        clients = [stack.enter_context(start_client(address, plan)) for address in addresses]
        used = measure_usage(relay, plan) if relay else 0.0
        results = [json.loads(read_line(client)) for client in clients]
    return summarize(results, used, plan.steady_end - plan.steady_start)


def summarize(results: list[dict], used: float, seconds: float) -> TokenPathFigures:
    """Return the joint figures of all load clients.

    :param results: the clients' figures.
    :param used: processor seconds of the relay in the window without new connections.
    :param seconds: length of that window.
    """

    def join(table: str, key: str) -> list[float]:
        return [value for result in results for value in result[table].get(key, [])]

    steady = join("gaps", "steady")
    return TokenPathFigures(
        microseconds=used / max(len(steady), 1) * 1e6,
        rate=len(steady) / seconds,
        gap_p95=find_quantile(steady, 0.95, empty=math.nan),
        first_p95=find_quantile(join("added", "probe"), 0.95, empty=math.nan),
        burst_first_p95=find_quantile(join("added", "burst"), 0.95, empty=math.nan),
        burst_gap_p95=find_quantile(join("gaps", "burst"), 0.95, empty=math.nan),
        incomplete=sum(result["incomplete"] for result in results),
    )
