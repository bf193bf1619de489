"""What the copies of a generation need from its task."""

from typing import Protocol

from gypsumpost_core.generations.generation import Generation


class CopiedGeneration(Protocol):
    """A generation whose state is copied to other daemons."""

    generation: Generation

    def handle_copy(self, host_id: str, length: int) -> None:
        """Note that a holder has the state up to a number of output tokens."""
        ...

    def handle_stale(self) -> None:
        """Note that another daemon has taken the generation over."""
        ...

    def handle_holder_lost(self, host_id: str) -> None:
        """Note that a holder is gone."""
        ...
