"""Random faults for the experiment with service calls."""

import random

import trio

from gypsumpost_bench.call_cluster import CallCluster
from gypsumpost_bench.store_fault import StoreFault
from gypsumpost_bench.store_fault_kind import StoreFaultKind


async def order_faults(cluster: CallCluster, chance: random.Random) -> None:
    """Inject random faults into the store and the services until cancelled.

    :param cluster: the store and the services.
    :param chance: random number generator.
    """
    kinds = [
        StoreFaultKind.LOSE_ANSWERS,
        StoreFaultKind.DOWN,
        StoreFaultKind.SLOW,
        StoreFaultKind.PARTITION,
    ]
    while True:
        until = trio.current_time() + chance.uniform(0.02, 0.2)
        kind = chance.choice(kinds)
        fault = StoreFault(kind=kind, until=until, domain=chance.choice(cluster.domains), delay=0.1)
        cluster.store.faults.order(fault)
        service = chance.choice(cluster.services)
        service.inject_fault(
            {"kind": chance.choice(["none", "close", "drop", "slow"]), "seconds": 0.1, "delay": 0.2}
        )
        await trio.sleep(chance.uniform(0.02, 0.3))
