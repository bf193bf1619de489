"""Measures how long a daemon waits for a share that another daemon no longer uses."""

import random

import trio

from gypsumpost_bench.share_fleet import SERVICE, ShareFleet
from gypsumpost_core.limits.share_coordinator import TAKEOVER_SECONDS

DAEMONS = 9
REQUESTS = 200.0
UNLIMITED = 1e6
WARM_UP_SECONDS = TAKEOVER_SECONDS + 3.0
REASSIGNED_FRACTION = 0.9


async def measure_reassignment(mode: str, crash: bool, shifts: int) -> float:
    """Return the longest time in seconds until a share is reassigned.

    All demand moves to another daemon; the time ends when that daemon has 90% of the allowance.

    :param mode: name of the share mode.
    :param crash: true if the previous daemon dies, false if it only loses its demand.
    :param shifts: number of moves of the demand.
    """
    longest = 0.0
    for shift in range(shifts):
        longest = max(longest, await _measure_shift(mode, crash, shift))
    return longest


async def _measure_shift(mode: str, crash: bool, shift: int) -> float:
    fleet = ShareFleet(
        daemons=DAEMONS, workspaces=1, requests=REQUESTS, tokens=UNLIMITED, mode=mode, seed=shift
    )
    views = fleet.tasks[0]._views  # The coordinator follows from a view of all hosts.
    views.update(fleet.hosts, fleet.hosts, trio.current_time())
    chosen = views.find_coordinator("w0")
    others = [index for index, host in enumerate(fleet.hosts) if host != chosen]
    old, new = random.Random(shift).sample(others, 2)
    # Each shift happens at a different time within the lifetime of a share.
    moved_at = trio.current_time() + WARM_UP_SECONDS + 0.13 * shift
    async with trio.open_nursery() as nursery:
        scopes = [trio.CancelScope() for _ in fleet.tasks]

        async def run_task(index: int) -> None:
            with scopes[index]:
                await fleet.tasks[index].run()

        for index in range(DAEMONS):
            nursery.start_soon(run_task, index)
        load = 1.5 * REQUESTS
        rates = {
            old: lambda now: load * (now < moved_at),
            new: lambda now: load * (now >= moved_at),
        }
        for index, get_rate in rates.items():
            nursery.start_soon(fleet.offer, index, "w0", SERVICE, get_rate)
        await trio.sleep_until(moved_at)
        if crash:
            scopes[old].cancel()
        elapsed = await _wait_for_share(fleet, new, moved_at)
        nursery.cancel_scope.cancel()
    return elapsed


async def _wait_for_share(fleet: ShareFleet, index: int, since: float) -> float:
    admission = fleet.tasks[index].admission
    while trio.current_time() < since + 10:
        usage = admission._usages.get("w0")
        if usage is not None and usage.held.requests >= REASSIGNED_FRACTION * REQUESTS:
            break
        await trio.sleep(0.01)
    return trio.current_time() - since
