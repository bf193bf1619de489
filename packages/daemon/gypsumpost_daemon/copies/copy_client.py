"""Replicates this daemon's generations to other hosts."""

from collections.abc import Callable

import attrs
import trio

from gypsumpost_core.generations.copy_placement import COPY_PLACEMENTS
from gypsumpost_core.host import Host
from gypsumpost_daemon.copies.copied_generation import CopiedGeneration
from gypsumpost_daemon.copies.copy_outbox import CopyOutbox
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.peer_channel import PeerChannel

AVOID_SECONDS = 5.0
"""Time for which a lost holder receives no new copies, even if membership still reports it as live.
It ends early when membership reports that the host has become live again.
"""


@attrs.define(kw_only=True)
class CopyClient:
    """Chooses holders and queues changes in one outbox for each of them.

    :param directory: the known hosts.
    :param network: sends the batches.
    :param placement: name of an entry of the ``copy-placement`` registry.
    """

    directory: HostDirectory
    network: PeerChannel
    placement: str
    _outboxes: dict[str, CopyOutbox] = attrs.field(factory=dict, init=False)
    _avoid_until: dict[str, float] = attrs.field(factory=dict, init=False)
    _start: Callable[[CopyOutbox], None] | None = attrs.field(default=None, init=False)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the outboxes until cancelled."""
        self.directory.add_listener(self._handle_liveness)
        async with trio.open_nursery() as nursery:
            self._start = lambda outbox: nursery.start_soon(outbox.run)
            task_status.started()
            await trio.sleep_forever()

    def add(self, task: CopiedGeneration) -> list[str]:
        """Start copying a generation to other hosts.

        :param task: the generation.
        :returns: host ids of the holders, empty if no peer can hold a copy.
        """
        holders = COPY_PLACEMENTS.create(
            self.placement,
            generation_id=task.generation.record.generation_id,
            own=self.directory.own,
            peers=self._list_candidates(),
        )
        return [self._add_to(host.host_id, task) for host in holders]

    def mark_changed(self, generation_id: str, holders: list[str]) -> None:
        """Schedule sending a generation's new state to its holders.

        :param generation_id: the generation.
        :param holders: host ids of the holders.
        """
        for host_id in holders:
            self._outboxes[host_id].mark_changed(generation_id)

    def remove(self, generation_id: str, holders: list[str], close: bool) -> None:
        """Stop copying a generation.

        :param generation_id: the generation.
        :param holders: host ids of the holders.
        :param close: true if the holders may drop their copies.
        """
        for host_id in holders:
            self._outboxes[host_id].remove(generation_id, close)

    def avoid(self, host_id: str) -> None:
        """Place no new copies on a host for ``AVOID_SECONDS``.

        :param host_id: the host.
        """
        self._avoid_until[host_id] = trio.current_time() + AVOID_SECONDS

    def _list_candidates(self) -> list[Host]:
        now = trio.current_time()
        peers = self.directory.list_peers()
        return [peer for peer in peers if self._avoid_until.get(peer.host_id, 0.0) <= now]

    def _add_to(self, host_id: str, task: CopiedGeneration) -> str:
        outbox = self._outboxes.get(host_id)
        if outbox is None:
            outbox = self._outboxes[host_id] = CopyOutbox(host_id=host_id, network=self.network)
            assert self._start is not None
            self._start(outbox)
        outbox.add(task)
        return host_id

    def _handle_liveness(self, host: Host, live: bool) -> None:
        if live:
            self._avoid_until.pop(host.host_id, None)
        elif host.host_id in self._outboxes:
            self._outboxes[host.host_id].drop_all()
