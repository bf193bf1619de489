"""A simulated engine that executes placement orders."""

import attrs

from gypsumpost_core.placement.engine_order import EngineOrder, OrderAction
from gypsumpost_core.placement.engine_report import EngineReport
from gypsumpost_core.routing.model_ref import ModelRef


@attrs.define(kw_only=True)
class PlacementEngine:
    """An engine whose report lags behind its state.

    :param name: its name.
    :param model_slots: number of model references that fit into its memory.
    :param checks_fencing: true if it refuses orders with an outdated fencing token.
    :param models: the loaded model references.
    """

    name: str
    model_slots: int
    checks_fencing: bool
    models: set[ModelRef]
    highest_token: int = 0
    boot: int = 1
    leaving: bool = False
    restarted_at: float = -1e9
    lost_models: frozenset[ModelRef] = frozenset()
    reported: EngineReport = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.publish()

    def publish(self) -> None:
        """Set the report to the current state."""
        self.reported = EngineReport(
            name=self.name,
            boot_id=str(self.boot),
            models=frozenset(self.models),
            model_slots=self.model_slots,
            leaving=self.leaving,
            checks_fencing=self.checks_fencing,
        )

    def execute(self, order: EngineOrder, token: int) -> bool:
        """Execute an order and return true, or return false if its token is outdated.

        A load without a free slot has no effect and returns true.

        :param order: the order.
        :param token: its fencing token.
        """
        if self.checks_fencing and token < self.highest_token:
            return False
        self.highest_token = max(self.highest_token, token)
        if order.action is OrderAction.UNLOAD:
            self.models.discard(order.ref)
        elif len(self.models) < self.model_slots:
            self.models.add(order.ref)
        return True

    def restart(self, now: float) -> None:
        """Restart without loaded models and without a fencing token.

        :param now: simulated time in seconds.
        """
        self.lost_models = frozenset(self.models)
        self.restarted_at = now
        self.models = set()
        self.highest_token = 0
        self.boot += 1
