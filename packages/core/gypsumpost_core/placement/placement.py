"""The placement policy that follows demand."""

import attrs

from gypsumpost_core.placement.engine_report import EngineReport
from gypsumpost_core.placement.placement_change import PlacementChange
from gypsumpost_core.placement.placement_policy import PLACEMENT, DesiredState
from gypsumpost_core.placement.placement_settings import PlacementSettings
from gypsumpost_core.placement.placement_snapshot import PlacementSnapshot
from gypsumpost_core.routing.model_ref import ModelRef


@PLACEMENT.register("demand")
@attrs.define(kw_only=True)
class DemandPlacement:
    """Places one copy of each permitted reference with demand, and more of overloaded ones.

    An engine's desired state starts as the state it reports. It changes only if the reason for a
    change persists until a stored deadline. References are unloaded only to make room for others.

    :param settings: delays and thresholds.
    """

    settings: PlacementSettings
    _desired: dict[str, frozenset[ModelRef]] = attrs.field(factory=dict, init=False)
    _due: dict[tuple[ModelRef, bool], float] = attrs.field(factory=dict, init=False)

    def compute_desired(self, snapshot: PlacementSnapshot, now: float) -> DesiredState:
        """Return the desired state after the changes that are due.

        :param snapshot: reports, permissions and demand.
        :param now: monotonic time in seconds.
        """
        self._update_engines(snapshot)
        # Once the reason for a change has disappeared or the change was made, the delay of the next
        # change starts again.
        due: dict[tuple[ModelRef, bool], float] = {}
        for ref in self._list_candidates(snapshot):
            change = self._find_change(ref, snapshot)
            if change is None:
                continue
            key = ref, self.count_copies(ref) == 0
            deadline = self._due.get(key, now + self._get_delay(ref))
            if now >= deadline:
                self._apply(change)
            else:
                due[key] = deadline
        self._due = due
        return dict(self._desired)

    def count_copies(self, ref: ModelRef) -> int:
        """Return the number of engines on which a reference should be loaded.

        :param ref: the reference.
        """
        return sum(ref in models for models in self._desired.values())

    def _update_engines(self, snapshot: PlacementSnapshot) -> None:
        serving = snapshot.list_serving()
        self._desired = {e.name: self._desired.get(e.name, e.models) for e in serving}

    def _list_candidates(self, snapshot: PlacementSnapshot) -> list[ModelRef]:
        used = [ref for ref in snapshot.allowed if snapshot.is_in_use(ref)]
        return sorted(used, key=lambda ref: (self.count_copies(ref) > 0, str(ref)))

    def _get_delay(self, ref: ModelRef) -> float:
        missing = self.count_copies(ref) == 0
        return self.settings.missing_after if missing else self.settings.spread_after

    def _find_change(self, ref: ModelRef, snapshot: PlacementSnapshot) -> PlacementChange | None:
        copies = self.count_copies(ref)
        pressure = snapshot.demand[ref] / max(1, copies)
        if copies and pressure <= self.settings.spread_demand:
            return None
        others = [e for e in snapshot.list_serving() if ref not in self._desired[e.name]]
        free = [e for e in others if len(self._desired[e.name]) < e.model_slots]
        if free:
            return PlacementChange(engine=min(free, key=_rank).name, added=ref)
        options = [
            option
            for engine in others
            for option in self._list_swaps(engine, ref, snapshot)
            if not copies or option.cost * self.settings.spread_ratio < pressure
        ]
        return min(options, key=lambda option: option.rank(), default=None)

    def _list_swaps(
        self, engine: EngineReport, ref: ModelRef, snapshot: PlacementSnapshot
    ) -> list[PlacementChange]:
        swaps = []
        for other in self._desired[engine.name]:
            remaining = self.count_copies(other) - 1
            if snapshot.is_in_use(other) and remaining == 0:
                continue
            cost = snapshot.demand.get(other, 0.0) / max(1, remaining)
            change = PlacementChange(
                engine=engine.name, added=ref, removed=other, cost=cost, load=engine.load
            )
            swaps.append(change)
        return swaps

    def _apply(self, change: PlacementChange) -> None:
        models = self._desired[change.engine] - {change.removed}
        self._desired[change.engine] = models | {change.added}


def _rank(engine: EngineReport) -> tuple[int, str]:
    return engine.load, engine.name
