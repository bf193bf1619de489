"""Input of a placement decision for one failure domain."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.placement.engine_report import EngineReport
from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class PlacementSnapshot:
    """A snapshot of engine reports, permitted references and demand.

    :param engines: reports of the engines of the domain that responded, leaving ones included.
    :param allowed: references that some plan permits.
    :param demand: demand by reference: the running generations of this daemon, plus a constant for
        each reference in ``allowed``, which other daemons may be using.
    """

    engines: tuple[EngineReport, ...]
    allowed: frozenset[ModelRef]
    demand: Mapping[ModelRef, float]

    def is_in_use(self, ref: ModelRef) -> bool:
        """Return true if there is demand for a reference, permitted or not.

        Generations started before a permission was withdrawn may still run, so they count too.

        :param ref: the reference.
        """
        return self.demand.get(ref, 0.0) > 0

    def list_serving(self) -> list[EngineReport]:
        """Return the engines that accept new requests, sorted by name."""
        return sorted((e for e in self.engines if not e.leaving), key=lambda e: e.name)
