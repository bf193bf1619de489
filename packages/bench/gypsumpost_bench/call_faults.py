"""Random faults for the experiment with service calls."""

import random

import trio

from gypsumpost_bench.call_cluster import CallCluster
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind


async def inject_random_faults(cluster: CallCluster, rng: random.Random) -> None:
    """Inject random faults into the store and the services until cancelled.

    :param cluster: the store and the services.
    :param rng: random number generator.
    """
    kinds = [
        StoreFaultKind.LOSE_ANSWERS,
        StoreFaultKind.DOWN,
        StoreFaultKind.SLOW,
        StoreFaultKind.PARTITION,
    ]
    while True:
        until = trio.current_time() + rng.uniform(0.02, 0.2)
        kind = rng.choice(kinds)
        fault = StoreFault(kind=kind, until=until, domain=rng.choice(cluster.domains), delay=0.1)
        cluster.store.faults.inject(fault)
        service = rng.choice(cluster.services)
        service.inject_fault(
            {"kind": rng.choice(["none", "close", "drop", "slow"]), "seconds": 0.1, "delay": 0.2}
        )
        await trio.sleep(rng.uniform(0.02, 0.3))
