"""Who may use what, as the callers' interface asks it."""

from typing import Protocol

from result import Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.lists.allowance import Allowance


class AccessControl(Protocol):
    """Checks bearer keys and allowances."""

    def find_workspace(self, key: str) -> Result[str, Failure]:
        """Return the workspace that a bearer key belongs to."""
        ...

    def find_allowance(self, workspace: str) -> Allowance | None:
        """Return what a workspace may use, ``None`` where nothing limits it."""
        ...

    async def admit(self, workspace: str, resource: str) -> Result[None, Failure]:
        """Take one request for a model or service from the workspace's allowance."""
        ...

    def start_generation(self, record: GenerationRecord) -> None:
        """Count a generation as running."""
        ...

    def charge_tokens(self, workspace: str, count: int) -> None:
        """Charge generated tokens."""
        ...

    def finish_generation(self, record: GenerationRecord) -> None:
        """Count a generation as ended."""
        ...
