"""This host's view of the configuration and the endpoints."""

from collections.abc import Callable, Collection, Iterable

import trio
from result import Err

from gypsumpost_core.gateway.era_belief import EraBelief
from gypsumpost_core.gateway.first_use import FirstUse
from gypsumpost_core.gateway.item_table import ItemTable
from gypsumpost_core.gateway.route_table import RouteTable
from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.endpoint_entries import EndpointEntries
from gypsumpost_daemon.gateway.item_set import ItemSet
from gypsumpost_daemon.gateway.item_tables import ItemTables
from gypsumpost_daemon.gateway.other_items import OtherItems
from gypsumpost_daemon.gateway.version_freshness import VersionFreshness
from gypsumpost_daemon.telemetry.log import Log

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
        self._endpoints = EndpointEntries(
            adapter=adapter,
            table=self.tables[adapter.endpoint_prefix],
            notify=self.notify_change,
        )
        self.fleet = self._endpoints.fleet
        self.others = OtherItems(
            table=self.tables[adapter.configuration_prefix],
            configuration_key=adapter.configuration_key,
        )
        self.routes: RouteTable | None = None
        self.era_belief = EraBelief(read_clock=trio.current_time)
        self.store_lost = False
        self._first_use = FirstUse()
        self.freshness = VersionFreshness()
        self._applied_revision = 0
        self._stored_version = 0
        self._changed = trio.Event()
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when items have changed; it must not block."""
        self._listeners.append(listener)

    @property
    def version(self) -> int:
        """Version of the applied configuration, 0 before the first."""
        return self.routes.configuration.version if self.routes else 0

    @property
    def endpoint_position(self) -> StorePosition:
        """Position of the newest known endpoint change."""
        table = self.tables[self._adapter.endpoint_prefix]
        return StorePosition(era=table.era, revision=table.newest)

    def resolve_era(self, era: StoreEra) -> StoreEra:
        """Return the era of the endpoint revisions that a peer names.

        :param era: the era that it names, ``NO_ERA`` if its software knows none.
        """
        return self.tables[self._adapter.endpoint_prefix].resolve_era(era)

    def list_behind(self, version: int, endpoint_position: StorePosition) -> list[str]:
        """Return the prefixes under which this host lacks what a peer names.

        :param version: version of the configuration that the peer has in force.
        :param endpoint_position: position of the newest endpoint change that it knows.
        """
        behind = {
            self._adapter.configuration_prefix: version > self.version,
            self._adapter.endpoint_prefix: endpoint_position > self.endpoint_position,
        }
        return [prefix for prefix, is_behind in behind.items() if is_behind]

    @property
    def configuration_prefix(self) -> str:
        """Prefix of the key of the configuration."""
        return self._adapter.configuration_prefix

    @property
    def endpoint_prefix(self) -> str:
        """Prefix of the keys of the endpoints."""
        return self._adapter.endpoint_prefix

    @property
    def is_configuration_unread(self) -> bool:
        """True if a configuration has arrived that could not be decoded, and none after it."""
        return self.tables[self.configuration_prefix].discarded > self._applied_revision

    def record_store_answer(self, asked_at: float) -> None:
        """Record that the store has sent all changes of the configuration up to some moment.

        A store that has come back with an older configuration than the one in force has lost what
        was written since, and confirms nothing.

        :param asked_at: the moment, as monotonic time in seconds.
        """
        if not self.is_configuration_unread and self._stored_version >= self.version:
            self.freshness.record_confirmation(self.version, asked_at)

    def record_peer_confirmation(self, version: int, era: StoreEra, confirmed_at: float) -> None:
        """Record that the store has confirmed a version to a peer.

        An older version than the one in force says something of the present only if both hosts
        know one history of the store, and the store has not lost the version in force.

        :param version: the version.
        :param era: era of the store that the peer knows.
        :param confirmed_at: the moment, as monotonic time in seconds.
        """
        is_lost = self._stored_version < self.version
        if version < self.version and (is_lost or era != self.endpoint_position.era):
            return
        self.freshness.record_confirmation(version, confirmed_at)

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
        if self.era_belief.is_unlikely(entry.era):
            LOG.write("ignored a list of an unlikely era", source=source, era=entry.era)
            return False
        self.era_belief.adopt(entry.era)
        if entry.partial:
            return self.apply(entry.prefix, entry.items, entry.revision, source, era=entry.era)
        return self.replace(
            entry.prefix, entry.items, entry.revision, source, kept=entry.kept, era=entry.era
        )

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

    def apply(
        self,
        prefix: str,
        items: Iterable[StoredItem],
        revision: int,
        source: str,
        *,
        era: StoreEra = NO_ERA,
    ) -> bool:
        """Apply changes of items; return true if any was not known.

        :param prefix: the prefix under which they were read.
        :param items: the changes.
        :param revision: revision up to which they are complete.
        :param source: where they come from, for the log.
        :param era: era of the store to which the revisions belong.
        """
        changed = self.tables[prefix].apply(items, revision, era)
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
        era: StoreEra = NO_ERA,
    ) -> bool:
        """Replace all items under a prefix; return true if any has changed.

        :param prefix: the prefix under which they were read.
        :param items: all items.
        :param revision: revision of the store when the read started.
        :param source: where they come from, for the log.
        :param kept: keys of items that exist as they are known.
        :param era: era of the store to which the revisions belong.
        """
        table = self.tables[prefix]
        former, restores = StorePosition(era=table.era, revision=table.revision), table.restores
        changed = table.replace(items, revision, kept, era)
        if table.restores > restores:
            self._record_restore(prefix, former, changed, source)
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
        self._endpoints.record_outage(now)
        self.store_lost = True

    async def run(self) -> None:
        """Remove what has not been written again after an outage or a restore of the store."""
        while True:
            now = trio.current_time()
            self._endpoints.apply_due(now)
            self.others.apply_due(now)
            await self.wait_change(min(self.others.compute_due(), self._endpoints.compute_due()))

    def _record_restore(
        self, prefix: str, former: StorePosition, changed: list[StoredItem], source: str
    ) -> None:
        """Prepare for the items of a store that has come back from an older copy."""
        now = trio.current_time()
        table = self.tables[prefix]
        if prefix == self._adapter.endpoint_prefix:
            self._endpoints.record_restore(now)
        else:
            self._applied_revision = 0
            self.others.record_restore(changed)
        LOG.write(
            "the store has come back from an older copy",
            prefix=prefix,
            source=source,
            former_era=former.era,
            era=table.era,
            former_revision=former.revision,
            revision=table.revision,
            changed=sum(item.value is not None for item in changed),
            missing=sum(item.value is None for item in changed),
            revived=len(table.revived),
        )

    def _record_load(self, source: str) -> None:
        if self.routes is not None and all(table.loaded for table in self.tables.values()):
            self._first_use.record_load(trio.current_time(), from_store=source == STORE)

    def _apply_changes(self, prefix: str, changed: list[StoredItem], source: str) -> None:
        for item in changed:
            if prefix == self._adapter.endpoint_prefix:
                self._endpoints.apply(item)
            elif item.key != self._adapter.configuration_key:
                self.others.apply(item)
            elif item.value is not None:
                self._apply_configuration(item.value, item.revision, source)
            else:
                self._stored_version = 0
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
        self._stored_version = configuration.version
        if configuration.version == self.version:
            self._applied_revision = revision
        if configuration.version <= self.version:
            LOG.write("ignored an old configuration", version=configuration.version)
            return
        self.routes = RouteTable(configuration=configuration)
        self._endpoints.set_routes(self.routes)
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
