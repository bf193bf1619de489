"""The interface of placement policies and their registry."""

from collections.abc import Mapping
from typing import Protocol

from gypsumpost_core.placement.placement_snapshot import PlacementSnapshot
from gypsumpost_core.registry import Registry
from gypsumpost_core.routing.model_ref import ModelRef

DesiredState = Mapping[str, frozenset[ModelRef]]
"""References that each engine should have loaded; engines that get no orders are absent."""


class PlacementPolicy(Protocol):
    """Chooses the references that each engine of a failure domain should have loaded."""

    def compute_desired(self, snapshot: PlacementSnapshot, now: float) -> DesiredState:
        """Return the desired state.

        :param snapshot: reports, permissions and demand.
        :param now: monotonic time in seconds.
        """
        ...


PLACEMENT: Registry[PlacementPolicy] = Registry(behaviour="placement")
"""Constructors take ``settings``, a :class:`PlacementSettings`."""
