"""Tests of two deciders over a store that comes back from a copy, without a network."""

import attrs
import trio
from result import Ok, Result

from gypsumpost_core.gateway.era_belief import EraBelief
from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_core.host import Host
from gypsumpost_core.rollouts.fleet_view import FleetView
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings
from gypsumpost_daemon.gateway.item_store import ItemBatch, ItemStoreFailure
from gypsumpost_daemon.gateway.item_transaction import ItemTransaction
from gypsumpost_daemon.gateway.store_lease import StoreLease
from gypsumpost_daemon.gateway.write_answer import WriteAnswer
from gypsumpost_daemon.gateway.write_failure import WriteFailure, WriteFailureKind
from gypsumpost_daemon.rollouts.checked_store import CheckedStore
from gypsumpost_daemon.rollouts.decider_lease import DeciderLease
from gypsumpost_daemon.rollouts.order_table import OrderTable
from gypsumpost_daemon.rollouts.record_codec import decode_record
from gypsumpost_daemon.rollouts.record_store import RECORD_PREFIX, RecordStore
from gypsumpost_daemon.rollouts.rollout_decider import RolloutDecider
from gypsumpost_daemon.rollouts.rollout_state import RolloutState
from gypsumpost_daemon.rollouts.tests.memory_item_store import MemoryItemStore

ORDER_PREFIX = "op/rollout/"
FLEET = FleetView(
    service_known=True,
    target_endpoints=2,
    other_endpoints=2,
    other_requests=1,
    missing_hosts=0,
    hosts=2,
)
REPORT_SECONDS = 0.2
RUN_SECONDS = 10.0


class OrderAdapter:
    """Decodes an order, whose value is its target."""

    rollout_order_prefix = ORDER_PREFIX

    def decode_rollout_order(self, item: StoredItem) -> Result[RolloutOrder, str]:
        return Ok(
            RolloutOrder(
                service="s",
                target_version=(item.value or b"").decode(),
                seconds=60.0,
                revision=item.revision,
            )
        )


class FixedObserver:
    """Sees the same fleet at all times."""

    def observe(self, service: str, target: str, now: float) -> FleetView:
        return FLEET


class PausableStore(MemoryItemStore):
    """The store as one host reaches it: its transactions arrive late while it is paused."""

    def __init__(self, store: MemoryItemStore) -> None:
        super().__init__()
        self.store = store
        self.paused = False
        self.writes_left = 100
        self.failures: list[WriteFailure] = []

    async def read(self, prefix: str, deadline: float) -> Result[ItemBatch, ItemStoreFailure]:
        return await self.store.read(prefix, deadline)

    async def commit(
        self, transaction: ItemTransaction, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        self.paused = self.paused or not self.writes_left
        self.writes_left -= 1
        while self.paused:
            await trio.sleep(0.01)
        made = await self.store.commit(transaction, deadline)
        if made.is_err():
            self.failures.append(made.unwrap_err())
        return made

    async def open_lease(self, seconds: float, deadline: float) -> Result[StoreLease, WriteFailure]:
        return await self.store.open_lease(seconds, deadline)

    async def renew_lease(
        self, lease: StoreLease, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        return await self.store.renew_lease(lease, deadline)

    async def end_lease(
        self, lease: StoreLease, deadline: float
    ) -> Result[WriteAnswer, WriteFailure]:
        return await self.store.end_lease(lease, deadline)


class DecidingHost:
    """State and decider of one host."""

    def __init__(self, store: MemoryItemStore, host_id: str) -> None:
        self.report = HostReport(host_id=host_id, failure_domain="a", link_mbps=1)
        self.store = PausableStore(store)
        self.belief = EraBelief(read_clock=trio.current_time)
        self.state = RolloutState(
            own=Host(
                host_id=host_id,
                failure_domain="a",
                peer_address="",
                gossip_address="",
                api_address="",
            ),
            settings=RolloutSettings(expose_share=0.1, expose_slack=50, rollback_seconds=5.0),
            orders=OrderTable(adapter=OrderAdapter()),  # type: ignore[arg-type]
            count_hosts=lambda: 2,
            read_store_era=lambda: self.belief.era,
        )
        checked = CheckedStore(store=self.store, belief=self.belief)
        self.decider = RolloutDecider(
            state=self.state,
            lease=DeciderLease(store=checked, host_id=host_id),
            records=RecordStore(
                store=checked, encode_status=lambda record: ("status", record.phase.value.encode())
            ),
            observer=FixedObserver(),  # type: ignore[arg-type]
            is_watching=lambda: not self.store.paused,
        )

    def hear(self, store: MemoryItemStore, revision: int) -> None:
        """Hear of the store's era and of the order, as a watcher of the directory does."""
        self.belief.observe(store.era)
        self.belief.observe(store.era)
        item = StoredItem(key=ORDER_PREFIX + "s", revision=revision, value=b"v2")
        self.state.apply_item(item, store.era)

    def get_record(self) -> RolloutRecord | None:
        return self.state.records.get("s")


async def exchange_reports(hosts: tuple[DecidingHost, DecidingHost]) -> None:
    """Tell each host what the other knows until cancelled."""
    while True:
        for sender, receiver in (hosts, hosts[::-1]):
            now = trio.current_time()
            report = sender.state.create_report(now, of_domain=False)
            receiver.state.apply_report(report, sender.report, now, of_domain=False)
        await trio.sleep(REPORT_SECONDS)


def read_stored(store: MemoryItemStore) -> RolloutRecord:
    """Return the record that the store holds."""
    return decode_record(store.read_value(RECORD_PREFIX + "s")).unwrap()


async def test_a_paused_decider_and_its_successor_never_act_both(
    autojump_clock: trio.abc.Clock, nursery: trio.Nursery
) -> None:
    """Guards against two deciders, or a step back, when the store is restored.

    The copy lacks the lease and the record.
    """
    store = MemoryItemStore()
    copy = store.content.copy()
    former, successor = hosts = (DecidingHost(store, "h-1"), DecidingHost(store, "h-2"))
    former.hear(store, 5)
    nursery.start_soon(former.decider.run)
    with trio.fail_after(RUN_SECONDS):
        while not former.get_record() or read_stored(store).share == 0:
            await trio.sleep(0.01)
    successor.hear(store, 5)
    nursery.start_soon(successor.decider.run)
    nursery.start_soon(exchange_reports, hosts)
    await trio.sleep(1.0)
    known = read_stored(store)
    assert former.decider.deciding and successor.get_record() == known
    former.store.paused = True
    store.restore(copy)
    successor.hear(store, 4)
    steps = 0
    end = trio.current_time() + RUN_SECONDS
    while trio.current_time() < end:
        assert not (former.decider.deciding and successor.decider.deciding)
        for host in hosts:
            record = host.get_record()
            assert record is not None
            assert (record.started_at_ms, record.share) == (known.started_at_ms, known.share)
        if successor.decider.deciding:
            steps += 1
            former.store.paused = False
        await trio.sleep(0.01)
    assert steps
    stored = read_stored(store)
    assert (
        attrs.evolve(stored, fencing_token=known.fencing_token, order_revision=known.order_revision)
        == known
    )
    assert stored.fencing_token > known.fencing_token
    assert stored.order_revision > known.order_revision
    assert store.read_value("status") == b"running"


async def test_a_late_step_of_a_former_decider_is_not_taken(
    autojump_clock: trio.abc.Clock, nursery: trio.Nursery
) -> None:
    """Guards against a step that arrives after a restore and replaces one of the next decider."""
    store = MemoryItemStore()
    copy = store.content.copy()
    former, successor = hosts = (DecidingHost(store, "h-1"), DecidingHost(store, "h-2"))
    former.store.writes_left = 2
    former.hear(store, 5)
    nursery.start_soon(former.decider.run)
    with trio.fail_after(RUN_SECONDS):
        while not former.store.paused:
            await trio.sleep(0.01)
    known = read_stored(store)
    successor.hear(store, 5)
    nursery.start_soon(exchange_reports, hosts)
    await trio.sleep(2 * REPORT_SECONDS)
    store.restore(copy)
    successor.hear(store, 4)
    nursery.start_soon(successor.decider.run)
    with trio.fail_after(RUN_SECONDS):
        while not store.read_value(RECORD_PREFIX + "s") or read_stored(store).share == 0:
            await trio.sleep(0.01)
    stored = read_stored(store)
    assert stored.started_at_ms == known.started_at_ms
    former.store.paused, former.store.writes_left = False, 100
    await trio.sleep(1.0)
    assert [failure.kind for failure in former.store.failures] == [WriteFailureKind.CONFLICT]
    assert read_stored(store) == stored
    assert former.get_record() == stored
