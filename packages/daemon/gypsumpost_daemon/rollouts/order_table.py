"""Orders of roll-outs that are in force."""

import attrs
from result import Err

from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_core.rollouts.rollout_identity import is_written_again
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.rollouts.unix_clock import read_unix_ms
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="rollout")


class OrderTable:
    """Keeps the newest order of each service.

    :param adapter: decodes the orders.
    """

    def __init__(self, *, adapter: GatewayAdapter) -> None:
        self._adapter = adapter
        self._orders: dict[str, RolloutOrder] = {}
        self._received_ms: dict[str, int] = {}

    def apply(self, item: StoredItem, era: StoreEra) -> RolloutOrder | None:
        """Apply a changed item and return the new order in it, if there is one.

        An item that is no order, or cannot be read, changes nothing.

        :param item: the item.
        :param era: era of the store to which its revision belongs.
        """
        prefix = self._adapter.rollout_order_prefix
        if not item.key.startswith(prefix):
            return None
        if item.value is None:
            if self._orders.pop(item.key.removeprefix(prefix), None) is not None:
                LOG.write("an order was removed", key=item.key, revision=item.revision)
            return None
        decoded = self._adapter.decode_rollout_order(item)
        if isinstance(decoded, Err):
            LOG.write(
                "ignored an invalid order",
                key=item.key,
                revision=item.revision,
                reason=decoded.err_value,
            )
            return None
        position = StorePosition(era=era, revision=item.revision)
        order = attrs.evolve(decoded.ok_value, revision=position.to_token())
        known = self._orders.get(order.service)
        self._orders[order.service] = order
        if known is None or not is_written_again(order, known):
            self._received_ms[order.service] = read_unix_ms()
        LOG.write(
            "received an order",
            service=order.service,
            target=order.target_version,
            seconds=order.seconds,
            revision=item.revision,
            era=era,
        )
        return order

    def get(self, service: str) -> RolloutOrder | None:
        """Return the order of a service, ``None`` if there is none.

        :param service: name of the service.
        """
        return self._orders.get(service)

    def get_received_ms(self, service: str) -> int:
        """Return the Unix milliseconds at which the order of a service arrived at this host.

        :param service: name of the service.
        """
        return self._received_ms[service]

    def list_orders(self) -> list[RolloutOrder]:
        """Return all orders."""
        return list(self._orders.values())
