"""Process of the stand-in platform: key-value store and lagging list of hosts."""

from pathlib import Path

import defopt
import trio

from gypsumpost_bench.lagging_list import LaggingList
from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.platform_application import PlatformApplication
from gypsumpost_bench.stand_in_http import serve_application
from gypsumpost_bench.store_limits import READS_PER_SECOND, WRITES_PER_SECOND, StoreLimits

POLL_SECONDS = 0.2
"""Interval at which the hosts file is read and expired leases are removed."""


async def run_platform(
    *,
    address: str,
    hosts_file: str,
    list_lag: float = 0.0,
    writes_per_second: float = WRITES_PER_SECOND,
    reads_per_second: float = READS_PER_SECOND,
) -> None:
    """Serve until cancelled.

    :param address: ``ip:port`` to listen on.
    :param hosts_file: JSON file with the contents of ``GET /v1/hosts``; read again on change.
    :param list_lag: seconds by which the list lags.
    :param writes_per_second: limit on calls that may write.
    :param reads_per_second: limit on other calls; a waiting watch counts as one.
    """
    limits = StoreLimits(writes_per_second=writes_per_second, reads_per_second=reads_per_second)
    store = MemoryStore(limits=limits)
    hosts = LaggingList(path=Path(hosts_file), lag=list_lag)
    application = PlatformApplication(store=store, hosts=hosts)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_poll, store, hosts)
        await serve_application(application, address)


async def _poll(store: MemoryStore, hosts: LaggingList) -> None:
    while True:
        hosts.poll(trio.current_time())
        store.logic.expire_leases(trio.current_time())
        await trio.sleep(POLL_SECONDS)


if __name__ == "__main__":
    trio.run(defopt.bind(run_platform))
