"""Tests of what a host knows of roll-outs, without a network."""

import attrs
import trio

from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.store_era import NO_ERA
from gypsumpost_core.host import Host
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.beacon_codec import decode_beacon, encode_beacon
from gypsumpost_daemon.rollouts.lease_confirmation import LeaseConfirmation
from gypsumpost_daemon.rollouts.order_table import OrderTable
from gypsumpost_daemon.rollouts.rollout_state import RolloutState
from gypsumpost_daemon.rollouts.unix_clock import read_unix_ms

OWN = Host(host_id="h-1", failure_domain="a", peer_address="", gossip_address="", api_address="")
CONFIRMATION = LeaseConfirmation(token=4, number=1)
PEER = HostReport(host_id="h-2", failure_domain="b", link_mbps=1)


def create_state() -> RolloutState:
    return RolloutState(
        own=OWN,
        settings=RolloutSettings(expose_share=0.1, expose_slack=50, rollback_seconds=5.0),
        orders=OrderTable(adapter=None),  # type: ignore[arg-type]
        count_hosts=lambda: 1,
        read_store_era=lambda: NO_ERA,
    )


def create_record(started_at_ms: int) -> RolloutRecord:
    return RolloutRecord(
        service="s",
        target_version="v2",
        order_revision=3,
        phase=RolloutPhase.RUNNING,
        share=0.05,
        spare=20,
        started_at_ms=started_at_ms,
        share_since_ms=started_at_ms + 40,
        deadline_ms=started_at_ms + 15000,
        fencing_token=4,
        reason="first requests",
    )


def count_exposed(state: RolloutState) -> int:
    """Return how many of many requests are sent to the target version."""
    exposed = 0
    for _ in range(200):
        if state.choice.choose("s", frozenset({"v1", "v2"}), trio.current_time()).exposes:
            state.choice.record_exposure("s")
            exposed += 1
    return exposed


async def test_a_host_that_misses_the_first_record_takes_its_part(
    autojump_clock: trio.abc.Clock,
) -> None:
    """Guards against spare requests that nobody uses since only the second record arrived."""
    now = trio.current_time()
    ran_before, started_later = create_state(), create_state()
    for state, started_at_ms in ((ran_before, 60000), (started_later, -60000)):
        record = create_record(read_unix_ms() + started_at_ms)
        state.put_record(attrs.evolve(record, share=1e-9), now, "peer")
        state.confirm(CONFIRMATION, now)
    assert count_exposed(ran_before) > 0
    assert count_exposed(started_later) == 0


async def test_reports_carry_records_and_the_age_of_their_confirmation(
    autojump_clock: trio.abc.Clock,
) -> None:
    """Guards against a share that hosts without the store never hear of, or take for fresh."""
    state, peer = create_state(), create_state()
    record = create_record(read_unix_ms())
    state.put_record(record, trio.current_time(), "store")
    state.confirm(CONFIRMATION, trio.current_time())
    await trio.sleep(1.5)
    now = trio.current_time()
    beacon = Beacon(
        host=PEER,
        ip="127.0.0.1",
        sequence=1,
        version=1,
        endpoint_revision=1,
        uses={},
        retries={},
        rollouts=state.create_report(now, of_domain=False),
    )
    received = decode_beacon(encode_beacon(beacon)).unwrap().rollouts
    peer.apply_report(received, PEER, now, of_domain=False)
    assert peer.records == {"s": record}
    assert abs(peer.confirmed_at - (now - 1.5)) < 0.01
    assert peer.count_silent({"h-1": "a", "h-2": "b", "h-3": "a"}, now) == 2


async def test_hosts_that_repeat_a_confirmation_do_not_renew_it(
    autojump_clock: trio.abc.Clock,
) -> None:
    """Guards against a share that stays after its decider is gone, and a late next decider."""
    state, peer = create_state(), create_state()
    confirmed_at = trio.current_time()
    state.confirm(CONFIRMATION, confirmed_at)
    for _ in range(50):
        for sender, receiver in ((state, peer), (peer, state)):
            report = sender.create_report(trio.current_time(), of_domain=False)
            await trio.sleep(0.02)
            receiver.apply_report(report, PEER, trio.current_time(), of_domain=False)
    assert state.confirmed_at == confirmed_at
    assert peer.confirmed_at <= confirmed_at + 0.03
    newer = LeaseConfirmation(token=4, number=2)
    state.confirm(newer, trio.current_time())
    assert state.confirmed_at == trio.current_time()
