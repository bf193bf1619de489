"""An order that is still on its way."""

import attrs

from gypsumpost_core.placement.engine_order import EngineOrder


@attrs.frozen(kw_only=True)
class LateOrder:
    """An order whose sender passed the last check and then paused, or whose bytes are delayed.

    :param order: the order.
    :param token: its fencing token.
    """

    order: EngineOrder
    token: int
