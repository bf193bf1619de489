"""Interface for authentication and allowance checks of callers' requests."""

from typing import Protocol

from result import Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.lists.allowance import Allowance


class AccessControl(Protocol):
    """Checks bearer keys and enforces allowances."""

    def find_workspace(self, key: str) -> Result[str, Failure]:
        """Return the workspace that a bearer key belongs to."""
        ...

    def find_allowance(self, workspace: str) -> Allowance | None:
        """Return the allowance of a workspace, ``None`` if there is none."""
        ...

    async def admit(self, workspace: str, resource: str) -> Result[None, Failure]:
        """Charge one request for a model or service to the workspace's allowance, or refuse it."""
        ...

    def start_generation(self, record: GenerationRecord) -> None:
        """Count a generation as running for its workspace."""
        ...

    def charge_tokens(self, workspace: str, count: int) -> None:
        """Charge generated tokens to a workspace's allowance."""
        ...

    def finish_generation(self, record: GenerationRecord) -> None:
        """Count a generation as ended for its workspace."""
        ...
