"""An order that has not reached its engine yet."""

import attrs

from gypsumpost_core.placement.engine_order import EngineOrder


@attrs.frozen(kw_only=True)
class DelayedOrder:
    """An order whose sender paused after its last lease check, or that the network delays.

    :param order: the order.
    :param token: its fencing token.
    """

    order: EngineOrder
    token: int
