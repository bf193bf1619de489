"""Background task that reports demand and coordinates shares."""

import time
from collections.abc import Callable

import trio
from result import Err

from gypsumpost_core.limits.allowance_admission import AllowanceAdmission
from gypsumpost_core.limits.share_coordinator import create_share_views
from gypsumpost_core.limits.share_grant import ShareGrant
from gypsumpost_core.limits.share_mode import SHARE_MODES
from gypsumpost_core.limits.workspace_coordinators import WorkspaceCoordinators
from gypsumpost_core.lists.lists import Lists
from gypsumpost_daemon.limits.demand_message import DemandMessage
from gypsumpost_daemon.limits.share_codec import (
    decode_grants,
    decode_reports,
    encode_grants,
    encode_reports,
)
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.telemetry.log import Log

TICK_SECONDS = 0.1
REPLY_SECONDS = 0.4
"""Reply timeout; shorter than the remaining lifetime of a share at its renewal."""

SHARE_WAIT_SECONDS = 5.0
"""Maximum time that a workspace's first request waits for a share. A new coordinator grants no new
share for 4.5 s, until the shares granted by its predecessor are reported or expire."""

LOG = Log(prefix="shares")


class ShareTask:
    """Manages this daemon's shares, and the grants for the workspaces that it coordinates.

    :param directory: the known hosts.
    :param peers: sends messages to other daemons.
    :param get_lists: returns the current lists.
    :param mode: name of an entry in the registry ``share-mode``.
    """

    def __init__(
        self,
        *,
        directory: HostDirectory,
        peers: PeerChannel,
        get_lists: Callable[[], Lists],
        mode: str = "coordinated",
    ) -> None:
        now = trio.current_time()
        self._directory = directory
        self._channel = peers
        self._unix_offset = time.time() - now
        self._views = create_share_views(own=directory.own, now=now)
        self._coordinators = WorkspaceCoordinators(
            own=directory.own, get_lists=get_lists, views=self._views
        )
        # Starting from the clock keeps the numbers increasing across restarts.
        self._number = int(time.time() * 1000)
        self._pending_hosts: set[str] = set()
        self._wake = trio.Event()
        self._adopted = trio.Event()
        self.admission = AllowanceAdmission(
            get_lists=get_lists,
            mode=SHARE_MODES.create(mode),
            count_hosts=lambda: len(directory.list_known()),
            unix_offset=self._unix_offset,
        )
        self._coordinated = mode == "coordinated"
        peers.add_handler(MessageKind.REPORT_DEMAND, self._serve_reports)

    async def wait_for_share(self, workspace: str) -> None:
        """Request a share and wait for it, up to ``SHARE_WAIT_SECONDS``, if there is none.

        :param workspace: the workspace.
        """
        if not self._coordinated or self.admission.has_share(workspace, trio.current_time()):
            return
        self.admission.mark_active(workspace, trio.current_time())
        self._wake.set()
        with trio.move_on_after(SHARE_WAIT_SECONDS):
            while not self.admission.has_share(workspace, trio.current_time()):
                adopted = self._adopted
                await adopted.wait()

    async def run(self) -> None:
        """Report demand until cancelled."""
        if not self._coordinated:
            return
        async with trio.open_nursery() as nursery:
            while True:
                now = trio.current_time()
                self._update_views(now)
                self._coordinators.remove_idle(now)
                for host_id, names in self._group_due(now).items():
                    # At most one message is in flight to each coordinator.
                    if host_id not in self._pending_hosts:
                        nursery.start_soon(self._report, host_id, names)
                with trio.move_on_after(TICK_SECONDS):
                    await self._wake.wait()
                self._wake = trio.Event()

    def _group_due(self, now: float) -> dict[str, list[str]]:
        groups: dict[str, list[str]] = {}
        for name in self.admission.list_due(now):
            coordinator = self._views.find_coordinator(name)
            groups.setdefault(coordinator.host_id, []).append(name)
        return groups

    async def _report(self, host_id: str, names: list[str]) -> None:
        self._pending_hosts.add(host_id)
        try:
            now = trio.current_time()
            self._number += 1
            number = self._number
            reports = tuple(self.admission.create_report(name, number, now) for name in names)
            sent_at = now + self._unix_offset
            message = DemandMessage(number=number, sent_at=sent_at, reports=reports)
            for grant in await self._request_grants(host_id, message):
                self.admission.adopt(number, grant, trio.current_time())
            self._adopted.set()
            self._adopted = trio.Event()
        finally:
            self._pending_hosts.discard(host_id)

    async def _request_grants(self, host_id: str, message: DemandMessage) -> tuple[ShareGrant, ...]:
        if host_id == self._directory.own.host_id:
            return tuple(self._answer(host_id, message))
        reply = await self._channel.request(
            host_id,
            MessageKind.REPORT_DEMAND,
            encode_reports(message),
            trio.current_time() + REPLY_SECONDS,
        )
        if isinstance(reply, Err):
            return ()
        grants = decode_grants(reply.ok_value)
        if isinstance(grants, Err):
            LOG.write("ignored an unreadable reply", peer=host_id, reason=grants.err_value)
            return ()
        return grants.ok_value

    async def _serve_reports(self, request: PeerRequest) -> bytes:
        decoded = decode_reports(request.payload)
        if isinstance(decoded, Err):
            LOG.write(
                "ignored an unreadable message", peer=request.host_id, reason=decoded.err_value
            )
            return encode_grants(())
        return encode_grants(self._answer(request.host_id, decoded.ok_value))

    def _answer(self, host_id: str, message: DemandMessage) -> list[ShareGrant]:
        now = trio.current_time()
        self._update_views(now)
        return self._coordinators.answer(
            host_id,
            message.number,
            message.reports,
            sent_at=message.sent_at,
            now=now,
        )

    def _update_views(self, now: float) -> None:
        self._views.update(self._directory.list_live(), self._directory.list_known(), now)
