"""An order to an engine to load or unload a model."""

import enum

import attrs

from gypsumpost_core.routing.model_ref import ModelRef


class OrderAction(enum.Enum):
    """Actions of an order; both are idempotent."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen(kw_only=True)
class EngineOrder:
    """An order without its fencing token, which the lease holder adds when it sends the order.

    :param engine: name of the engine.
    :param boot_id: boot id of the engine process for which the order was chosen.
    :param action: load or unload.
    :param ref: the model reference to load or unload.
    """

    engine: str
    boot_id: str
    action: OrderAction
    ref: ModelRef
