"""The parts of a host that serve roll-outs."""

from collections.abc import Callable

import attrs
import trio

from gypsumpost_core.gateway.usage_table import UsageTable
from gypsumpost_core.host import Host
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.gateway_settings import GatewaySettings
from gypsumpost_daemon.gateway.item_store import ItemStore
from gypsumpost_daemon.rollouts.checked_store import CheckedStore
from gypsumpost_daemon.rollouts.decider_lease import DeciderLease
from gypsumpost_daemon.rollouts.fleet_observer import FleetObserver
from gypsumpost_daemon.rollouts.order_table import OrderTable
from gypsumpost_daemon.rollouts.record_store import RecordStore
from gypsumpost_daemon.rollouts.rollout_decider import RolloutDecider
from gypsumpost_daemon.rollouts.rollout_state import RolloutState

MILLISECONDS = 1000


@attrs.frozen(kw_only=True)
class RolloutComponents:
    """State and decider of roll-outs on this host.

    :param state: orders, records and evidence.
    :param decider: the task that decides while this host holds the lease.
    """

    state: RolloutState
    decider: RolloutDecider

    async def run(self) -> None:
        """Weigh evidence, and decide while this host holds the lease, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.state.run)
            nursery.start_soon(self.decider.run)


def create_rollouts(
    *,
    own: Host,
    settings: GatewaySettings,
    adapter: GatewayAdapter,
    store: ItemStore,
    directory: Directory,
    usage: UsageTable,
    list_domains: Callable[[], dict[str, str]],
    is_watching: Callable[[], bool],
) -> RolloutComponents | None:
    """Return the parts that serve roll-outs, ``None`` if the settings have no bounds for them.

    :param own: this host.
    :param settings: settings of the host.
    :param adapter: names and formats of the platform.
    :param store: the store.
    :param directory: configuration and endpoints.
    :param usage: usage of the engines.
    :param list_domains: returns the failure domain of each live host by its id.
    :param is_watching: returns true while this host watches the store and the store answers.
    """
    if not settings.expose_share:
        return None
    state = RolloutState(
        own=own,
        settings=RolloutSettings(
            expose_share=settings.expose_share,
            expose_slack=int(settings.expose_slack),
            rollback_seconds=settings.rollback_ms / MILLISECONDS,
        ),
        orders=OrderTable(adapter=adapter),
        count_hosts=lambda: len(list_domains()),
        read_store_era=lambda: directory.era_belief.era,
    )
    directory.others.add_listener(state.apply_item)

    def encode_status(record: RolloutRecord) -> tuple[str, bytes]:
        key = adapter.rollout_status_prefix + record.service
        return key, adapter.encode_rollout_status(record.phase, record.target_version)

    checked = CheckedStore(store=store, belief=directory.era_belief)
    decider = RolloutDecider(
        state=state,
        lease=DeciderLease(store=checked, host_id=own.host_id),
        records=RecordStore(store=checked, encode_status=encode_status),
        observer=FleetObserver(
            directory=directory, usage=usage, state=state, list_domains=list_domains
        ),
        is_watching=is_watching,
    )
    return RolloutComponents(state=state, decider=decider)
