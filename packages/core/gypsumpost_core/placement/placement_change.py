"""One change of the desired state."""

import attrs

from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class PlacementChange:
    """A reference to add on one engine, in place of another if memory is short.

    :param engine: name of the engine.
    :param added: the reference to load.
    :param removed: the reference to unload, ``None`` if there is room.
    :param cost: demand that each remaining copy of the removed reference then has.
    :param load: generations on the engine.
    """

    engine: str
    added: ModelRef
    removed: ModelRef | None = None
    cost: float = 0.0
    load: int = 0

    def rank(self) -> tuple[float, int, str, str]:
        """Return the order among changes, the cheapest first."""
        return self.cost, self.load, self.engine, str(self.removed)
