"""Access control based on the workspace keys in the settings, without allowances."""

import attrs
from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.workspace_keys import WorkspaceKeys

UNKNOWN_KEY = Failure(
    status=401,
    code="invalid_api_key",
    message="The bearer key belongs to no workspace.",
    run_state=RunState.NOT_RUN,
)


@attrs.frozen(kw_only=True)
class SettingsAccess:
    """Access control for a deployment without a platform; allowances are not enforced.

    :param keys: workspaces by bearer key.
    """

    keys: WorkspaceKeys

    def find_workspace(self, key: str) -> Result[str, Failure]:
        """Return the workspace that a bearer key belongs to."""
        workspace = self.keys.find_workspace(key)
        return Err(UNKNOWN_KEY) if workspace is None else Ok(workspace)

    def find_allowance(self, workspace: str) -> Allowance | None:
        """Return ``None``, as workspaces have no allowance."""
        return None

    async def admit(self, workspace: str, resource: str) -> Result[None, Failure]:
        """Accept every request."""
        return Ok(None)

    def start_generation(self, record: GenerationRecord) -> None:
        """Do nothing, as generations are not counted."""

    def charge_tokens(self, workspace: str, count: int) -> None:
        """Do nothing, as tokens are not charged."""

    def finish_generation(self, record: GenerationRecord) -> None:
        """Do nothing, as generations are not counted."""
