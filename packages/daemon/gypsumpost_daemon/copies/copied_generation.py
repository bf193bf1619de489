"""Interface of a generation task for replication."""

from typing import Protocol

from gypsumpost_core.generations.generation import Generation


class CopiedGeneration(Protocol):
    """A generation whose state is copied to other daemons."""

    generation: Generation

    def handle_acknowledged(self, host_id: str, length: int) -> None:
        """Handle the acknowledgement of a holder for a number of output tokens."""
        ...

    def handle_stale(self) -> None:
        """Handle the takeover of the generation by another daemon."""
        ...

    def handle_holder_lost(self, host_id: str) -> None:
        """Handle the loss of a holder."""
        ...
