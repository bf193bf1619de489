"""What the placement of models in one failure domain is decided on."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.placement.engine_report import EngineReport
from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class PlacementSituation:
    """Reports, permissions and demand at one moment.

    :param engines: the engines of the domain that answered, leaving ones included.
    :param allowed: what the plans may use.
    :param demand: requests over the demand window and generations in flight, by reference.
    """

    engines: tuple[EngineReport, ...]
    allowed: frozenset[ModelRef]
    demand: Mapping[ModelRef, float]

    def is_in_use(self, ref: ModelRef) -> bool:
        """Return true if there is demand for a reference, permitted or not.

        Generations of a permission that was withdrawn may still run, so they count too.

        :param ref: the reference.
        """
        return self.demand.get(ref, 0.0) > 0

    def list_serving(self) -> list[EngineReport]:
        """Return the engines that take new work, in the order of their names."""
        return sorted((e for e in self.engines if not e.leaving), key=lambda e: e.name)
