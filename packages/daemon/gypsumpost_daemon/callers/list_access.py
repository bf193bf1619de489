"""Access control based on the operators' lists of plans and allowances."""

import attrs
import trio
from result import Err, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.limits.share_task import ShareTask
from gypsumpost_daemon.lists.list_task import ListTask

NO_LISTS = Failure(
    status=503,
    code="lists_unknown",
    message="This daemon has not received the lists of plans yet; ask another one.",
    run_state=RunState.NOT_RUN,
)
"""Until a daemon has received the lists, it cannot tell whether a key is valid."""


TOO_MANY_REQUESTS = 429
FIRST_SHARE_WAIT = 7.0
"""Maximum wait in seconds of a request when this daemon has no share of the workspace's allowance.

A new coordinator grants no shares for 4.5 s, and the first share is small.
"""

FIRST_SHARE_RETRY_INTERVAL = 0.1


@attrs.frozen(kw_only=True)
class ListAccess:
    """Checks keys against the current lists and enforces allowances with this daemon's shares.

    :param lists: this daemon's replica of the lists.
    :param shares: this daemon's shares of the allowances.
    """

    lists: ListTask
    shares: ShareTask

    def find_workspace(self, key: str) -> Result[str, Failure]:
        """Return the workspace that a bearer key belongs to."""
        if not self.lists.revision:
            return Err(NO_LISTS)
        return self.lists.lists.find_workspace(key)

    def find_allowance(self, workspace: str) -> Allowance | None:
        """Return the allowance of a workspace, ``None`` if it has no plan."""
        return self.lists.lists.find_allowance(workspace)

    async def admit(self, workspace: str, resource: str) -> Result[None, Failure]:
        """Charge one request for a model or service to the workspace's allowance, or refuse it.

        Without a share of the allowance, the request waits for the first one.
        """
        allowance = self.find_allowance(workspace)
        admission = self.shares.admission
        now = trio.current_time()
        if allowance is None or not allowance.requests_per_second:
            return admission.check(workspace, resource, now)
        # Requests that waited for the first share are admitted at its rate, not all at once.
        lacks_share = not admission.has_share(workspace, now)
        retry_until = now + FIRST_SHARE_WAIT if lacks_share else now
        await self.shares.wait_for_share(workspace)
        checked = admission.check(workspace, resource, trio.current_time())
        while isinstance(checked, Err) and checked.err_value.status == TOO_MANY_REQUESTS:
            if trio.current_time() >= retry_until:
                break
            await trio.sleep(FIRST_SHARE_RETRY_INTERVAL)
            checked = admission.check(workspace, resource, trio.current_time())
        return checked

    def start_generation(self, record: GenerationRecord) -> None:
        """Count a generation as running for its workspace."""
        self.shares.admission.start_generation(record.workspace, trio.current_time())

    def charge_tokens(self, workspace: str, count: int) -> None:
        """Charge generated tokens to a workspace's allowance."""
        self.shares.admission.charge_tokens(workspace, count, trio.current_time())

    def finish_generation(self, record: GenerationRecord) -> None:
        """Count a generation as ended for its workspace."""
        now = trio.current_time()
        self.shares.admission.finish_generation(record.workspace, record.length, now)
