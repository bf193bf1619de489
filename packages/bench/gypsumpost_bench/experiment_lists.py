"""Experiment ``lists``: propagation of list changes to all daemons, on a simulated clock."""

import math

import attrs
import trio
import trio.testing

from gypsumpost_bench.experiment import EXPERIMENTS
from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.quantiles import find_nearest_rank
from gypsumpost_bench.scripted_store import ScriptedStore
from gypsumpost_bench.simulated_fleet import DOMAINS, create_directory, create_hosts
from gypsumpost_bench.simulated_network import SimulatedNetwork, SimulatedPort
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_daemon.lists.edit_outcome import EditAccepted
from gypsumpost_daemon.lists.list_editor import ListEditor
from gypsumpost_daemon.lists.list_task import WATCHERS_PER_DOMAIN, ListTask

LINK_SECONDS = 0.001
SETTLE_SECONDS = 5.0
CHANGE_PERIOD_SECONDS = 4.5
"""19,000 changes a day are one every 4.5 s."""

TARGET_SECONDS = 4.0
SAMPLE_SECONDS = 0.0005

ALLOWANCE_TEMPLATE = """[plan-{number}]
models = ["summary"]
requests_per_second = {rate}
tokens_per_second = 5000
concurrent_generations = 40
deadline_seconds = 120
"""


@attrs.frozen(kw_only=True)
class PropagationResult:
    """Measurements of one run.

    :param times: seconds from the acceptance of a change until a daemon has applied it, for each
        change and daemon; infinite if it has not before the next change.
    :param reverts: number of times that a daemon's revision decreased.
    :param watches: number of store watches while the lists do not change.
    :param change_bytes: bytes sent per change and daemon in excess of the idle traffic.
    :param idle_bytes: bytes sent per second and daemon while the lists do not change.
    """

    times: list[float]
    reverts: int
    watches: int
    change_bytes: float
    idle_bytes: float


async def measure_propagation(
    daemons: int, changes: int, watchers: int, loss: float
) -> PropagationResult:
    """Run a fleet of daemons, edit the lists and measure when each daemon applies the changes.

    :param daemons: number of daemons.
    :param changes: number of edits.
    :param watchers: store watchers per domain.
    :param loss: share of messages that are lost in each direction.
    """
    network = SimulatedNetwork(seed=1, delay=LINK_SECONDS, loss=loss)
    store = ScriptedStore()
    hosts = create_hosts(daemons)
    tasks = [
        ListTask(
            directory=create_directory(host, hosts),
            peers=SimulatedPort(network=network, host_id=host.host_id),
            store=store,
            watchers=watchers,
        )
        for host in hosts
    ]
    times: list[float] = []
    reverts = 0
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task.run)
        await trio.sleep(SETTLE_SECONDS)
        await _edit(store, 0)
        await trio.sleep(SETTLE_SECONDS)
        watches, before = store.watches, _sum_bytes(network)
        await trio.sleep(changes * CHANGE_PERIOD_SECONDS)
        idle = _sum_bytes(network) - before
        before = _sum_bytes(network)
        for number in range(1, changes + 1):
            end = trio.current_time() + CHANGE_PERIOD_SECONDS
            change_times, change_reverts = await _measure_change(store, tasks, number)
            times += change_times
            reverts += change_reverts
            await trio.sleep_until(end)
        sent = _sum_bytes(network) - before
        nursery.cancel_scope.cancel()
    return PropagationResult(
        times=times,
        reverts=reverts,
        watches=watches,
        change_bytes=(sent - idle) / changes / daemons,
        idle_bytes=idle / (changes * CHANGE_PERIOD_SECONDS) / daemons,
    )


async def _measure_change(
    store: ScriptedStore, tasks: list[ListTask], number: int
) -> tuple[list[float], int]:
    await _edit(store, number)
    start = trio.current_time()
    revision = number + 1
    waiting, times, reverts = set(range(len(tasks))), [], 0
    revisions = [task.revision for task in tasks]
    while waiting and trio.current_time() < start + CHANGE_PERIOD_SECONDS:
        for index, task in enumerate(tasks):
            reverts += task.revision < revisions[index]
            revisions[index] = task.revision
        arrived = {index for index in waiting if tasks[index].revision >= revision}
        times += [trio.current_time() - start] * len(arrived)
        waiting -= arrived
        await trio.sleep(SAMPLE_SECONDS)
    return times + [math.inf] * len(waiting), reverts


async def _edit(store: ScriptedStore, number: int) -> None:
    text = ALLOWANCE_TEMPLATE.format(number=number, rate=number + 1)
    outcome = await ListEditor(store=store).replace_list(
        ListKind.ALLOWANCES, text, base=number, author="bench", deadline=trio.current_time() + 5
    )
    if not isinstance(outcome, EditAccepted):
        raise RuntimeError(f"the edit was not accepted: {outcome}")


def _sum_bytes(network: SimulatedNetwork) -> int:
    return sum(network.sent_bytes.values())


def _run_simulated(daemons: int, changes: int, watchers: int, loss: float) -> PropagationResult:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(measure_propagation, daemons, changes, watchers, loss, clock=clock)


@EXPERIMENTS.register("lists")
def run(*, quick: bool) -> list[ExperimentRow]:
    """Measure propagation in fleets of different sizes, with and without lost messages.

    :param quick: true for fewer changes and smaller fleets.
    """
    changes = 5 if quick else 40
    rows: list[ExperimentRow] = []
    for daemons, loss in [(9, 0.0), (9, 0.1), (27 if quick else 99, 0.0)]:
        chosen = _run_simulated(daemons, changes, WATCHERS_PER_DOMAIN, loss)
        baseline = _run_simulated(daemons, changes, daemons, loss)
        rows += _create_rows(daemons, loss, changes, chosen, baseline)
    return rows


def _create_rows(
    daemons: int, loss: float, changes: int, chosen: PropagationResult, baseline: PropagationResult
) -> list[ExperimentRow]:
    note = (
        f"{daemons} daemons in {DOMAINS} domains, 1 ms links, {loss:.0%} of messages lost, "
        f"{changes} changes, simulated clock sampled every 0.5 ms"
    )
    name = "every daemon watches the store"

    def create_row(
        measure: str,
        unit: str,
        figure: float,
        base: float,
        target: str = "",
        met: bool | None = None,
    ) -> ExperimentRow:
        return ExperimentRow(
            name=f"lists: {measure}, {daemons} daemons, {loss:.0%} loss",
            unit=unit,
            figure=figure,
            target=target,
            baseline=base,
            baseline_name=name,
            note=note,
            met=met,
        )

    p50, p99, last = (find_nearest_rank(chosen.times, fraction) for fraction in (0.5, 0.99, 1.0))
    base50, base99, base_last = (find_nearest_rank(baseline.times, p) for p in (0.5, 0.99, 1.0))
    return [
        create_row("spread time p50", "s", p50, base50),
        create_row("spread time p99", "s", p99, base99, "< 4 s", p99 < TARGET_SECONDS),
        create_row("spread time of the last", "s", last, base_last, "< 4 s", last < TARGET_SECONDS),
        create_row("reverts", "", chosen.reverts, baseline.reverts, "0", chosen.reverts == 0),
        create_row("bytes per change and daemon", "B", chosen.change_bytes, baseline.change_bytes),
        create_row("idle bytes per daemon", "B/s", chosen.idle_bytes, baseline.idle_bytes),
        create_row("store watches", "", chosen.watches, baseline.watches),
    ]
