"""An order to an engine."""

import enum

import attrs

from gypsumpost_core.routing.model_ref import ModelRef


class OrderAction(enum.Enum):
    """What an order asks for; both are idempotent."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen(kw_only=True)
class EngineOrder:
    """An order without its fencing token, which the holder of the lease adds.

    :param engine: name of the engine.
    :param boot_id: the engine process that the order was decided for.
    :param action: what to do.
    :param ref: the reference to load or unload.
    """

    engine: str
    boot_id: str
    action: OrderAction
    ref: ModelRef
