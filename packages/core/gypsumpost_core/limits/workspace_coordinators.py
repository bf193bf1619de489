"""Coordinators of all workspaces for which one host is responsible."""

from collections.abc import Callable, Iterable

from gypsumpost_core.host import Host
from gypsumpost_core.limits.coordinator_views import CoordinatorViews
from gypsumpost_core.limits.demand_report import DemandReport
from gypsumpost_core.limits.share_amounts import ShareAmounts, get_limit
from gypsumpost_core.limits.share_coordinator import ShareCoordinator
from gypsumpost_core.limits.share_grant import ShareGrant
from gypsumpost_core.lists.lists import Lists


class WorkspaceCoordinators:
    """Replies to demand reports with share grants.

    :param own: this host.
    :param get_lists: returns the current lists.
    :param views: selects each workspace's coordinator.
    """

    def __init__(
        self, *, own: Host, get_lists: Callable[[], Lists], views: CoordinatorViews
    ) -> None:
        self._own = own
        self._get_lists = get_lists
        self._views = views
        self._coordinators: dict[str, ShareCoordinator] = {}

    def answer(
        self,
        host_id: str,
        number: int,
        reports: Iterable[DemandReport],
        *,
        sent_at: float,
        now: float,
    ) -> list[ShareGrant]:
        """Return grants for the reports of one daemon; other hosts' workspaces are skipped.

        :param host_id: host id of the reporting daemon.
        :param number: number of its message.
        :param reports: its reports.
        :param sent_at: Unix time in seconds on the daemon's clock at which it sent the message.
        :param now: monotonic time in seconds.
        """
        grants = []
        for report in reports:
            if self._views.find_coordinator(report.workspace) != self._own:
                continue
            amounts, seconds = self._find(report.workspace).grant(
                host_id,
                number,
                report,
                limit=self._compute_limit(report.workspace).scale(
                    self._views.get_usable_fraction()
                ),
                takeover_until=self._views.find_takeover_end(report.workspace),
                now=now,
            )
            deadline = sent_at + seconds
            grants.append(
                ShareGrant(workspace=report.workspace, amounts=amounts, deadline=deadline)
            )
        return grants

    def remove_idle(self, now: float) -> None:
        """Remove the workspaces that no daemon serves any more.

        :param now: monotonic time in seconds.
        """
        self._coordinators = {
            name: coordinator
            for name, coordinator in self._coordinators.items()
            if not coordinator.is_idle(now)
        }

    def _find(self, workspace: str) -> ShareCoordinator:
        return self._coordinators.setdefault(workspace, ShareCoordinator())

    def _compute_limit(self, workspace: str) -> ShareAmounts:
        allowance = self._get_lists().find_allowance(workspace)
        return ShareAmounts() if allowance is None else get_limit(allowance)
