"""The placement policy that changes nothing, used as a baseline."""

import attrs

from gypsumpost_core.placement.placement_policy import PLACEMENT, DesiredState
from gypsumpost_core.placement.placement_settings import PlacementSettings
from gypsumpost_core.placement.placement_situation import PlacementSituation


@PLACEMENT.register("static")
@attrs.define(kw_only=True)
class StaticPlacement:
    """Keeps the references that the engines have loaded.

    :param settings: not used.
    """

    settings: PlacementSettings

    def compute_desired(self, situation: PlacementSituation, now: float) -> DesiredState:
        """Return the references that the engines report as loaded."""
        return {engine.name: engine.models for engine in situation.list_serving()}
