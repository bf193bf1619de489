"""Tests of the decider's lease when the store comes back from a copy, without a network."""

import attrs
import pytest
import trio
from result import Ok

from gypsumpost_core.gateway.era_belief import EraBelief
from gypsumpost_core.gateway.store_position import read_token
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_daemon.gateway.write_failure import WriteFailureKind
from gypsumpost_daemon.rollouts.checked_store import CheckedStore
from gypsumpost_daemon.rollouts.decider_lease import LEASE_SECONDS, DeciderLease
from gypsumpost_daemon.rollouts.record_store import RecordStore
from gypsumpost_daemon.rollouts.tests.memory_item_store import MemoryItemStore

RECORD = RolloutRecord(
    service="s",
    target_version="v2",
    order_revision=3,
    phase=RolloutPhase.RUNNING,
    share=0.05,
    started_at_ms=1000,
    share_since_ms=2000,
    deadline_ms=60000,
    fencing_token=0,
    reason="",
)


class DeciderParts:
    """Lease and records of one host, which believes the store's era."""

    def __init__(self, store: MemoryItemStore) -> None:
        self.store = store
        self.belief = EraBelief(read_clock=trio.current_time)
        self.checked = CheckedStore(store=store, belief=self.belief)
        self.lease = DeciderLease(store=self.checked, host_id="h")
        self.records = RecordStore(
            store=self.checked, encode_status=lambda record: ("status", record.phase.value.encode())
        )
        self.confirm_era()

    def confirm_era(self) -> None:
        """Hear the store's era twice, as a watcher of the directory does."""
        self.belief.observe(self.store.era)
        self.belief.observe(self.store.era)

    async def take(self) -> None:
        """Take the lease as soon as that is possible, and read the records."""
        with trio.fail_after(5 * LEASE_SECONDS):
            while (await self.lease.take()).is_err():
                await trio.sleep(0.05)
        assert (await self.records.read()).is_ok()

    def sign(self, **changes: object) -> RolloutRecord:
        """Return a record under the token of the lease."""
        return attrs.evolve(RECORD, fencing_token=self.lease.token, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize("granted_seconds", [LEASE_SECONDS, 5.0])
async def test_no_lease_is_taken_while_a_paused_holder_may_act(
    granted_seconds: float, autojump_clock: trio.abc.Clock
) -> None:
    """Guards against two deciders when the lease of a paused holder is lost with the copy.

    The store may grant more time than was asked for.
    """
    store = MemoryItemStore()
    store.min_lease_seconds = granted_seconds
    copy = store.content.copy()
    paused, other = DeciderParts(store), DeciderParts(store)
    await paused.take()
    store.restore(copy)
    other.confirm_era()
    assert paused.lease.held
    refused = (await other.lease.take()).unwrap_err()
    assert refused.kind is WriteFailureKind.REFUSED
    while not other.lease.held:
        await other.lease.take()
        assert not (paused.lease.held and other.lease.held)
        await trio.sleep(0.02)


async def test_a_holder_stops_at_the_first_answer_of_another_era(
    autojump_clock: trio.abc.Clock,
) -> None:
    """Guards against a holder that acts on although its lease is lost, or is another host's."""
    store = MemoryItemStore()
    for kept in (False, True):
        holder = DeciderParts(store)
        copy = store.content.copy()
        await holder.take()
        # Its number may be given out again, and then a renewal succeeds.
        store.restore(store.content.copy() if kept else copy)
        holder.lease.check_soon()
        await holder.lease.renew()
        assert not holder.lease.held


async def test_a_holder_stops_when_the_directory_hears_of_another_era(
    autojump_clock: trio.abc.Clock,
) -> None:
    """Guards against a holder that acts until its next renewal after a restore."""
    store = MemoryItemStore()
    holder = DeciderParts(store)
    await holder.take()
    holder.belief.observe(store.era)
    assert holder.lease.held
    store.restore(store.content)
    holder.belief.observe(store.era)
    assert not holder.lease.held


async def test_a_late_write_of_a_former_era_does_not_succeed(
    autojump_clock: trio.abc.Clock,
) -> None:
    """Guards against a step of a former decider that meets its own revisions, given out again."""
    store = MemoryItemStore()
    copy = store.content.copy()
    former, present = DeciderParts(store), DeciderParts(store)
    await former.take()
    store.restore(copy)
    present.confirm_era()
    await present.take()
    assert read_token(present.lease.token).revision == read_token(former.lease.token).revision
    late = await former.records.write(former.sign(share=1.0))
    assert late.unwrap_err().kind is WriteFailureKind.CONFLICT
    assert await present.records.write(present.sign()) == Ok(None)


async def test_no_lease_is_taken_while_the_copy_holds_the_former_one(
    autojump_clock: trio.abc.Clock,
) -> None:
    """Guards against a late step under the former lease that is made beside the next decider's."""
    store = MemoryItemStore()
    store.min_lease_seconds = 5.0
    former, present = DeciderParts(store), DeciderParts(store)
    await former.take()
    store.restore(store.content)
    present.confirm_era()
    await trio.sleep(2 * LEASE_SECONDS)
    taken = await present.lease.take()
    assert taken.unwrap_err().kind is WriteFailureKind.CONFLICT
    await trio.sleep(store.min_lease_seconds)
    assert (await present.lease.take()).is_ok()
    late = await former.records.write(former.sign(share=1.0))
    assert late.unwrap_err().kind is WriteFailureKind.CONFLICT


async def test_tokens_never_fall(autojump_clock: trio.abc.Clock) -> None:
    """Guards against a decider whose steps are refused since a former one had a higher token."""
    store = MemoryItemStore()
    copy = store.content.copy()
    tokens: list[int] = []
    for _ in range(4):
        store.content.revision += 5 - len(tokens)
        host = DeciderParts(store)
        await host.take()
        tokens.append(host.lease.token)
        assert (await host.records.write(host.sign())).is_ok()
        store.restore(copy)
    assert tokens == sorted(set(tokens))


async def test_the_number_of_another_hosts_lease_is_not_ended(
    autojump_clock: trio.abc.Clock,
) -> None:
    """Guards against a former holder that ends the lease of the present one."""
    store = MemoryItemStore()
    copy = store.content.copy()
    former, present = DeciderParts(store), DeciderParts(store)
    await former.take()
    store.restore(copy)
    present.confirm_era()
    await present.take()
    former.confirm_era()
    await former.lease.end()
    present.lease.check_soon()
    await present.lease.renew()
    assert present.lease.held


async def test_a_store_without_eras_keeps_its_tokens(autojump_clock: trio.abc.Clock) -> None:
    """Guards against another key or token where the store names no era."""
    store = MemoryItemStore(era=0)
    host = DeciderParts(store)
    await host.take()
    assert host.lease.token == store.content.items["gypsumpost/rollouts/decider"].revision
    assert (await host.records.write(host.sign())).is_ok()
    assert store.read_value("status") == b"running"
