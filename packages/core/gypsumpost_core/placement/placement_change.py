"""A candidate change of the desired state."""

import attrs

from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class PlacementChange:
    """A reference to load on one engine, replacing another if its memory is full.

    :param engine: name of the engine.
    :param added: the reference to load.
    :param removed: the reference to unload, ``None`` if no reference must be unloaded.
    :param cost: demand on each remaining copy of the removed reference after the change.
    :param load: running and queued generations on the engine.
    """

    engine: str
    added: ModelRef
    removed: ModelRef | None = None
    cost: float = 0.0
    load: int = 0

    def rank(self) -> tuple[float, int, str, str]:
        """Return a sort key that puts the cheapest change first."""
        return self.cost, self.load, self.engine, str(self.removed)
