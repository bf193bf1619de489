"""Handler for hosts in the administration interface."""

from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_daemon.admin.admin_application import AdminApplication
from gypsumpost_daemon.admin.admin_request import AdminRequest
from gypsumpost_daemon.admin.admin_response import create_json_response
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.lists.host_revisions import fetch_revisions
from gypsumpost_daemon.lists.list_task import ListTask
from gypsumpost_daemon.peers.host_directory import HostDirectory


class AdminHosts:
    """Handler that shows the hosts with their states as seen by this daemon.

    :param directory: the known hosts.
    :param task: task that keeps this daemon's replica of the lists.
    """

    def __init__(self, *, directory: HostDirectory, task: ListTask) -> None:
        self._directory = directory
        self._task = task

    def add_routes(self, application: AdminApplication) -> None:
        """Register the handler.

        :param application: the administration interface.
        """
        application.add_route("GET", "/admin/v1/hosts", self.show)

    async def show(self, request: AdminRequest) -> CallerResponse:
        """Return each known host with its state and list revision, ``null`` without an answer."""
        revisions = await fetch_revisions(self._directory, self._task)
        rows = [
            {
                "host_id": host.host_id,
                "failure_domain": host.failure_domain,
                "state": self._get_state_name(host.host_id),
                "revision": revisions.get(host.host_id),
            }
            for host in self._directory.list_known()
        ]
        own = self._directory.own.host_id
        return create_json_response(200, {"seen_by": own, "hosts": rows})

    def _get_state_name(self, host_id: str) -> str:
        state = self._directory.get_state(host_id) or MemberState.UNREACHABLE
        return state.name.lower()
