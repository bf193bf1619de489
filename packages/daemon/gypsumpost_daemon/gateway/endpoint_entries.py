"""Applies the entries of endpoints in the store to the fleet."""

import math
from collections.abc import Callable

import trio
from result import Err

from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.item_table import ItemTable
from gypsumpost_core.gateway.revived_entries import RevivedEntries
from gypsumpost_core.gateway.route_table import RouteTable
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.telemetry.log import Log

REWRITE_GRACE_SECONDS = 2.2
"""What expired during a store outage, or was lost with a copy, is written again within this time.
"""

LOG = Log(prefix="directory")


class EndpointEntries:
    """Keeps the fleet as the entries say, except around outages and restores of the store.

    :param adapter: decodes the entries.
    :param table: the entries.
    :param notify: called when an endpoint was removed; must not block.
    """

    def __init__(
        self, *, adapter: GatewayAdapter, table: ItemTable, notify: Callable[[], None]
    ) -> None:
        self._adapter = adapter
        self._table = table
        self._notify = notify
        self._routes: RouteTable | None = None
        self._revived = RevivedEntries()
        self._outage_ended_at = -math.inf
        self._remove_at: dict[str, float] = {}
        self.fleet = EndpointFleet()

    def set_routes(self, routes: RouteTable) -> None:
        """Use the endpoints of the services that a configuration names.

        :param routes: the routes of the configuration.
        """
        former, self._routes = self._routes, routes
        if former is None:
            self._drop_unnamed()
        elif former.list_service_names() != routes.list_service_names():
            self._add_named()

    def record_outage(self, now: float) -> None:
        """Record that the store did not answer, so that entries may have expired.

        :param now: monotonic time in seconds.
        """
        self._outage_ended_at = now

    def record_restore(self, now: float) -> None:
        """Prepare for the entries of a store that has come back from an older copy.

        An endpoint that was leaving stays so, and one that had left is not used by its old entry.

        :param now: monotonic time in seconds.
        """
        self.record_outage(now)
        held = [self._table.find(key) for key in self._revived.list_keys()]
        still_held = {item.key: item.revision for item in held if item is not None}
        self._revived.begin(still_held | self._table.revived, now)
        for state in self.fleet:
            if state.record.leaving:
                record = state.record
                start = EndpointStart(endpoint_id=record.endpoint_id, started_at=record.started_at)
                self.fleet.mark_leaving(start)

    def apply(self, item: StoredItem) -> None:
        """Apply the latest write or removal of an entry.

        :param item: the write or removal.
        """
        now = trio.current_time()
        if item.value is None:
            remove_at = self._outage_ended_at + REWRITE_GRACE_SECONDS
            if now < remove_at:
                self._remove_at[item.key] = remove_at
            else:
                self._remove(item.key)
            return
        if self._revived.holds(item, now):
            LOG.write("holds back an entry that the copy has brought back", key=item.key)
            return
        self._remove_at.pop(item.key, None)
        decoded = self._adapter.decode_endpoint(item.key, item.value)
        if isinstance(decoded, Err):
            LOG.write("ignored an invalid endpoint entry", key=item.key, reason=decoded.err_value)
            self._remove(item.key)
            return
        self._put(decoded.ok_value, item)

    def apply_due(self, now: float) -> None:
        """Remove the endpoints whose entries were not written again, and use those that were kept.

        :param now: monotonic time in seconds.
        """
        for key in [key for key, remove_at in self._remove_at.items() if remove_at <= now]:
            del self._remove_at[key]
            self._remove(key)
        for key in self._revived.list_due(now):
            item = self._table.find(key)
            self._revived.release(key)
            if item is not None and item.value is not None:
                LOG.write("uses an entry that has outlived its endpoint's silence", key=key)
                self.apply(item)
                self._notify()

    def compute_due(self) -> float:
        """Return the monotonic time at which to call ``apply_due``, infinity for never."""
        remove_at = min(self._remove_at.values(), default=math.inf)
        return min(remove_at, self._revived.compute_due())

    def _put(self, record: EndpointRecord, item: StoredItem) -> None:
        known = self.fleet.find(record.endpoint_id)
        if not self._is_named(record) and (known is None or known.record.service != record.service):
            LOG.write(
                "ignored an entry of an unknown service", key=item.key, service=record.service
            )
            self._remove(item.key)
            return
        if known is None or known.record != record:
            LOG.write(
                "an endpoint has changed",
                endpoint=record.endpoint_id,
                leaving=record.leaving,
                started_at=record.started_at,
                revision=item.revision,
            )
        self.fleet.put(record)

    def _is_named(self, record: EndpointRecord) -> bool:
        """Return true unless the configuration does not name the service of an endpoint."""
        return self._routes is None or self._routes.find_service(record.service) is not None

    def _drop_unnamed(self) -> None:
        """Drop the endpoints of other services that were added before any service was known."""
        for state in self.fleet:
            if not self._is_named(state.record):
                LOG.write("an endpoint has no service", endpoint=state.record.endpoint_id)
                self.fleet.remove(state.record.endpoint_id)

    def _add_named(self) -> None:
        """Add the endpoints of services that are new in the configuration."""
        prefix = self._adapter.endpoint_prefix
        for item in self._table.list_present():
            if self.fleet.find(item.key.removeprefix(prefix)) is None:
                self.apply(item)

    def _remove(self, key: str) -> None:
        endpoint_id = key.removeprefix(self._adapter.endpoint_prefix)
        if self.fleet.find(endpoint_id) is not None:
            LOG.write("an endpoint is gone", endpoint=endpoint_id)
        self.fleet.remove(endpoint_id)
        self._notify()
