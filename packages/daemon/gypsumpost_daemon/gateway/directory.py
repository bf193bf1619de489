"""This host's view of the configuration and the endpoints."""

import math
from collections.abc import Callable, Collection, Iterable

import trio
from result import Err

from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.first_use import FirstUse
from gypsumpost_core.gateway.item_table import ItemTable
from gypsumpost_core.gateway.route_table import RouteTable
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.item_set import ItemSet
from gypsumpost_daemon.gateway.item_tables import ItemTables
from gypsumpost_daemon.gateway.version_freshness import VersionFreshness
from gypsumpost_daemon.telemetry.log import Log

REWRITE_GRACE_SECONDS = 2.2
"""Endpoints whose entries expired during a store outage write them again within this time."""

STORE = "store"
"""Source of the items that this host has read from the store itself."""

LOG = Log(prefix="directory")


class Directory:
    """Applies items from the store or from peers and keeps their decoded contents.

    :param adapter: decodes the items.
    """

    def __init__(self, *, adapter: GatewayAdapter) -> None:
        self._adapter = adapter
        self.tables = ItemTables(
            {adapter.configuration_prefix: ItemTable(), adapter.endpoint_prefix: ItemTable()}
        )
        self.fleet = EndpointFleet()
        self.routes: RouteTable | None = None
        self._outage_ended_at = -math.inf
        self._remove_at: dict[str, float] = {}
        self.store_lost = False
        self._first_use = FirstUse()
        self.freshness = VersionFreshness()
        self._applied_revision = 0
        self._changed = trio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._item_listeners: list[Callable[[StoredItem], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when items have changed; it must not block."""
        self._listeners.append(listener)

    def add_item_listener(self, listener: Callable[[StoredItem], None]) -> None:
        """Register a function to call with each changed item beside the configuration.

        :param listener: the function; it must not block.
        """
        self._item_listeners.append(listener)

    @property
    def version(self) -> int:
        """Version of the applied configuration, 0 before the first."""
        return self.routes.configuration.version if self.routes else 0

    @property
    def endpoint_revision(self) -> int:
        """Revision of the newest known endpoint change."""
        return self.tables[self._adapter.endpoint_prefix].newest

    def list_behind(self, version: int, endpoint_revision: int) -> list[str]:
        """Return the prefixes under which this host lacks what a peer names.

        :param version: version of the configuration that the peer has in force.
        :param endpoint_revision: revision of the newest endpoint change that it knows.
        """
        behind = {
            self._adapter.configuration_prefix: version > self.version,
            self._adapter.endpoint_prefix: endpoint_revision > self.endpoint_revision,
        }
        return [prefix for prefix, is_behind in behind.items() if is_behind]

    @property
    def configuration_prefix(self) -> str:
        """Prefix of the key of the configuration."""
        return self._adapter.configuration_prefix

    def record_store_answer(self, asked_at: float) -> None:
        """Record that the store has sent all changes of the configuration up to some moment.

        :param asked_at: the moment, as monotonic time in seconds.
        """
        if self.tables[self.configuration_prefix].discarded <= self._applied_revision:
            self.freshness.record_confirmation(self.version, asked_at)

    def has_lost_service(self) -> bool:
        """Return true if some routed service has only endpoints that are considered lost."""
        if self.routes is None:
            return False
        for name in self.routes.list_services():
            states = self.fleet.list_service(name)
            if states and all(state.lost for state in states):
                return True
        return False

    def apply_set(self, entry: ItemSet, source: str) -> bool:
        """Apply the items received from a peer; return true if any was not known.

        :param entry: the items of a prefix.
        :param source: the peer, for the log.
        """
        if entry.prefix not in self.tables:
            return False
        if entry.partial:
            return self.apply(entry.prefix, entry.items, entry.revision, source)
        return self.replace(entry.prefix, entry.items, entry.revision, source, kept=entry.kept)

    @property
    def ready(self) -> bool:
        """True once the configuration and the endpoints are known and may be used."""
        return self.routes is not None and self._first_use.is_usable(trio.current_time())

    async def wait_change(self, deadline: float) -> None:
        """Wait until something has changed.

        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        with trio.move_on_at(deadline):
            await self._changed.wait()

    def notify_change(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    def apply(self, prefix: str, items: Iterable[StoredItem], revision: int, source: str) -> bool:
        """Apply changes of items; return true if any was not known.

        :param prefix: the prefix under which they were read.
        :param items: the changes.
        :param revision: revision up to which they are complete.
        :param source: where they come from, for the log.
        """
        changed = self.tables[prefix].apply(items, revision)
        self._apply_changes(prefix, changed, source)
        self._record_load(source)
        return bool(changed)

    def replace(
        self,
        prefix: str,
        items: Iterable[StoredItem],
        revision: int,
        source: str,
        *,
        kept: Collection[str] = (),
    ) -> bool:
        """Replace all items under a prefix; return true if any has changed.

        :param prefix: the prefix under which they were read.
        :param items: all items.
        :param revision: revision of the store when the read started.
        :param source: where they come from, for the log.
        :param kept: keys of items that exist as they are known.
        """
        changed = self.tables[prefix].replace(items, revision, kept)
        self._apply_changes(prefix, changed, source)
        self._record_load(source)
        return bool(changed)

    def record_recovery(self) -> None:
        """Record that the store answers again."""
        self.store_lost = False
        self.notify_change()

    def record_outage(self, now: float) -> None:
        """Record that the store did not answer.

        :param now: monotonic time in seconds.
        """
        self._outage_ended_at = now
        self.store_lost = True

    async def run(self) -> None:
        """Remove endpoints whose entries have not been written again after a store outage."""
        while True:
            now = trio.current_time()
            due = [key for key, remove_at in self._remove_at.items() if remove_at <= now]
            for key in due:
                del self._remove_at[key]
                self._remove_endpoint(key)
            await self.wait_change(min(self._remove_at.values(), default=math.inf))

    def _record_load(self, source: str) -> None:
        if self.routes is not None and all(table.loaded for table in self.tables.values()):
            self._first_use.record_load(trio.current_time(), from_store=source == STORE)

    def _apply_changes(self, prefix: str, changed: list[StoredItem], source: str) -> None:
        for item in changed:
            if prefix == self._adapter.endpoint_prefix:
                self._apply_endpoint(item)
            elif item.key != self._adapter.configuration_key:
                for notify in self._item_listeners:
                    notify(item)
            elif item.value is not None:
                self._apply_configuration(item.value, item.revision, source)
        if changed:
            self.notify_change()
            for listener in self._listeners:
                listener()

    def _apply_configuration(self, value: bytes, revision: int, source: str) -> None:
        decoded = self._adapter.decode_configuration(value)
        if isinstance(decoded, Err):
            LOG.write(
                "cannot decode the configuration",
                revision=revision,
                source=source,
                reason=decoded.err_value,
            )
            self.tables[self._adapter.configuration_prefix].discard(self._adapter.configuration_key)
            return
        configuration = decoded.ok_value
        if configuration.version <= self.version:
            LOG.write("ignored an old configuration", version=configuration.version)
            return
        former, self.routes = self.routes, RouteTable(configuration=configuration)
        if former is None:
            self._drop_unnamed()
        elif former.list_service_names() != self.routes.list_service_names():
            self._add_named()
        self._applied_revision = revision
        behind = self.freshness.record_applied(configuration.version)
        LOG.write(
            "applied a configuration",
            version=configuration.version,
            revision=revision,
            source=source,
            routes=len(configuration.routes),
            behind_seconds=round(behind, 3),
        )

    def _apply_endpoint(self, item: StoredItem) -> None:
        if item.value is None:
            now = trio.current_time()
            remove_at = self._outage_ended_at + REWRITE_GRACE_SECONDS
            if now < remove_at:
                self._remove_at[item.key] = remove_at
            else:
                self._remove_endpoint(item.key)
            return
        self._remove_at.pop(item.key, None)
        decoded = self._adapter.decode_endpoint(item.key, item.value)
        if isinstance(decoded, Err):
            LOG.write("ignored an invalid endpoint entry", key=item.key, reason=decoded.err_value)
            self._remove_endpoint(item.key)
            return
        record = decoded.ok_value
        known = self.fleet.find(record.endpoint_id)
        if not self._is_named(record) and (known is None or known.record.service != record.service):
            LOG.write(
                "ignored an entry of an unknown service", key=item.key, service=record.service
            )
            self._remove_endpoint(item.key)
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
        return self.routes is None or self.routes.find_service(record.service) is not None

    def _drop_unnamed(self) -> None:
        """Drop the endpoints of other services that were added before any service was known."""
        for state in self.fleet:
            if not self._is_named(state.record):
                LOG.write("an endpoint has no service", endpoint=state.record.endpoint_id)
                self.fleet.remove(state.record.endpoint_id)

    def _add_named(self) -> None:
        """Add the endpoints of services that are new in the configuration."""
        prefix = self._adapter.endpoint_prefix
        for item in self.tables[prefix].list_present():
            if self.fleet.find(item.key.removeprefix(prefix)) is None:
                self._apply_endpoint(item)

    def _remove_endpoint(self, key: str) -> None:
        endpoint_id = key.removeprefix(self._adapter.endpoint_prefix)
        if self.fleet.find(endpoint_id) is not None:
            LOG.write("an endpoint is gone", endpoint=endpoint_id)
        self.fleet.remove(endpoint_id)
        self.notify_change()
