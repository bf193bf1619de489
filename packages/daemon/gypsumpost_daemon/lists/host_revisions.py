"""Query of the revision of the lists on all live hosts."""

import trio

from gypsumpost_daemon.lists.list_task import ListTask
from gypsumpost_daemon.peers.host_directory import HostDirectory


async def fetch_revisions(directory: HostDirectory, task: ListTask) -> dict[str, int | None]:
    """Return the revision of each live host by host id, ``None`` for a host that does not reply.

    :param directory: the known hosts.
    :param task: this daemon's list task, which sends the requests.
    """
    revisions: dict[str, int | None] = {directory.own.host_id: task.revision}

    async def fetch(host_id: str) -> None:
        revisions[host_id] = await task.fetch_revision(host_id)

    async with trio.open_nursery() as nursery:
        for host in directory.list_peers():
            nursery.start_soon(fetch, host.host_id)
    return dict(sorted(revisions.items()))
