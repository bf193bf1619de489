"""Measures how long a daemon searches for a share that another one no longer uses."""

import random

import trio

from gypsumpost_bench.share_fleet import SERVICE, ShareFleet
from gypsumpost_core.limits.share_coordinator import TAKEOVER_SECONDS

DAEMONS = 9
REQUESTS = 200.0
AMPLE = 1e6
WARM_SECONDS = TAKEOVER_SECONDS + 3.0
FOUND_FRACTION = 0.9


async def measure_found(mode: str, crash: bool, shifts: int) -> float:
    """Return the longest time until the whole demand's new daemon has 90% of the allowance.

    :param mode: name of the share mode.
    :param crash: whether the daemon that had the demand dies, rather than loses its demand.
    :param shifts: number of moves of the demand.
    """
    longest = 0.0
    for shift in range(shifts):
        longest = max(longest, await _measure_shift(mode, crash, shift))
    return longest


async def _measure_shift(mode: str, crash: bool, shift: int) -> float:
    fleet = ShareFleet(
        daemons=DAEMONS, workspaces=1, requests=REQUESTS, tokens=AMPLE, mode=mode, seed=shift
    )
    coordinator = fleet.tasks[0]._views  # A view of all hosts is needed to know the coordinator.
    coordinator.update(fleet.hosts, fleet.hosts, trio.current_time())
    chosen = coordinator.find_coordinator("w0")
    others = [index for index, host in enumerate(fleet.hosts) if host != chosen]
    old, new = random.Random(shift).sample(others, 2)
    # The moment within the life of a share differs from shift to shift.
    moved = trio.current_time() + WARM_SECONDS + 0.13 * shift
    async with trio.open_nursery() as nursery:
        scopes = [trio.CancelScope() for _ in fleet.tasks]

        async def run_task(index: int) -> None:
            with scopes[index]:
                await fleet.tasks[index].run()

        for index in range(DAEMONS):
            nursery.start_soon(run_task, index)
        load = 1.5 * REQUESTS
        rates = {old: lambda now: load * (now < moved), new: lambda now: load * (now >= moved)}
        for index, get_rate in rates.items():
            nursery.start_soon(fleet.offer, index, "w0", SERVICE, get_rate)
        await trio.sleep_until(moved)
        if crash:
            scopes[old].cancel()
        found = await _wait_for_share(fleet, new, moved)
        nursery.cancel_scope.cancel()
    return found


async def _wait_for_share(fleet: ShareFleet, index: int, since: float) -> float:
    admission = fleet.tasks[index].admission
    while trio.current_time() < since + 10:
        use = admission._usages.get("w0")
        if use is not None and use.held.requests >= FOUND_FRACTION * REQUESTS:
            break
        await trio.sleep(0.01)
    return trio.current_time() - since
