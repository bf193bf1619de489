"""All placement policies; importing this module registers them."""

from gypsumpost_core.placement import placement, static_placement  # noqa: F401
from gypsumpost_core.placement.placement_policy import PLACEMENT

__all__ = ["PLACEMENT"]
