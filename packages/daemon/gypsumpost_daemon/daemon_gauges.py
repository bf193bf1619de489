"""The gauges of a daemon."""

from collections.abc import Callable

from gypsumpost_daemon.copies.copy_store import CopyStore
from gypsumpost_daemon.generations.generation_supervisor import GenerationSupervisor
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.telemetry.metrics import Metrics


def add_gauges(
    metrics: Metrics,
    *,
    copies: CopyStore,
    supervisor: GenerationSupervisor,
    directory: HostDirectory,
    get_list_revision: Callable[[], int],
    count_open_requests: Callable[[], int],
) -> None:
    """Add the gauges that are read from the components at each scrape.

    :param metrics: metrics of the daemon.
    :param copies: copies of generations held for other daemons.
    :param supervisor: this daemon's own generations.
    :param directory: the known hosts.
    :param get_list_revision: returns the list revision in use, 0 without lists.
    :param count_open_requests: returns the number of callers' requests in flight.
    """
    add = metrics.add_gauge
    add(
        "gypsumpost_copies_held",
        "Copies of generations held for other daemons.",
        lambda: copies.count,
    )
    add(
        "gypsumpost_generations_running",
        "Own generations that have not ended.",
        lambda: supervisor.running,
    )
    add(
        "gypsumpost_generations_kept",
        "Own generations in memory, ended ones included.",
        lambda: supervisor.kept,
    )
    add(
        "gypsumpost_generations_unprotected",
        "Running generations without a copy on another host.",
        lambda: supervisor.unprotected,
    )
    add(
        "gypsumpost_peers_live",
        "Other hosts held for live.",
        lambda: len(directory.list_peers()),
    )
    add("gypsumpost_list_revision", "Revision of the lists in force.", get_list_revision)
    add("gypsumpost_open_requests", "Callers' requests in flight.", count_open_requests)
