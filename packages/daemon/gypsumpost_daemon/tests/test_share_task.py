"""Tests of the share task on a simulated network."""

from collections.abc import Iterator

import pytest
import trio
import trio.testing

from gypsumpost_bench.simulated_fleet import create_directory, create_hosts
from gypsumpost_bench.simulated_network import SimulatedNetwork, SimulatedPort
from gypsumpost_core.limits.demand_report import DemandReport
from gypsumpost_core.limits.share_amounts import ShareAmounts
from gypsumpost_core.limits.share_coordinator import TAKEOVER_SECONDS
from gypsumpost_core.limits.share_grant import ShareGrant
from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.lists.workspace_plan import WorkspacePlan
from gypsumpost_daemon.limits.demand_message import DemandMessage
from gypsumpost_daemon.limits.share_codec import (
    decode_grants,
    decode_reports,
    encode_grants,
    encode_reports,
)
from gypsumpost_daemon.limits.share_task import ShareTask

LISTS = Lists(
    revision=1,
    plans={"north": WorkspacePlan(name="north", plan="large")},
    allowances={
        "large": Allowance(
            name="large",
            services=("gate",),
            requests_per_second=90,
            tokens_per_second=1000,
            concurrent_generations=20,
            deadline_seconds=60,
        )
    },
)


@pytest.fixture
def clock(autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch) -> Iterator:
    monkeypatch.setattr("time.time", lambda: 1e9 + autojump_clock.current_time())
    yield autojump_clock


def start_fleet(nursery: trio.Nursery, network: SimulatedNetwork) -> list[ShareTask]:
    hosts = create_hosts(9)
    tasks = [
        ShareTask(
            directory=create_directory(host, hosts),
            peers=SimulatedPort(network=network, host_id=host.host_id),
            get_lists=lambda: LISTS,
        )
        for host in hosts
    ]
    for task in tasks:
        nursery.start_soon(task.run)
    return tasks


async def count_accepted(task: ShareTask, rate: int, seconds: int) -> int:
    accepted = 0
    for _ in range(rate * seconds):
        accepted += task.admission.check("north", "gate", trio.current_time()).is_ok()
        await trio.sleep(1 / rate)
    return accepted


async def test_one_busy_daemon_gets_nearly_the_whole_allowance(
    clock: object, nursery: trio.Nursery
) -> None:
    """Guards against shares that remain with daemons that do not use them."""
    tasks = start_fleet(nursery, SimulatedNetwork())
    await trio.sleep(TAKEOVER_SECONDS + 1)
    await tasks[0].wait_for_share("north")
    assert tasks[0].admission.has_share("north", trio.current_time())
    await count_accepted(tasks[0], 200, 3)
    accepted = await count_accepted(tasks[0], 200, 10)
    assert 0.95 * 900 <= accepted <= 1.05 * 900
    nursery.cancel_scope.cancel()


async def test_shares_lapse_when_the_coordinator_is_unreachable(
    clock: object, nursery: trio.Nursery
) -> None:
    """Guards against a daemon that keeps using a share that may have been granted to others."""
    network = SimulatedNetwork()
    tasks = start_fleet(nursery, network)
    await trio.sleep(TAKEOVER_SECONDS + 1)
    remote = [
        task for task in tasks if task._views.find_coordinator("north") != task._coordinators._own
    ]
    await remote[0].wait_for_share("north")
    assert remote[0].admission.has_share("north", trio.current_time())
    network.loss = 1.0
    await count_accepted(remote[0], 10, 4)
    assert not remote[0].admission.has_share("north", trio.current_time())
    nursery.cancel_scope.cancel()


def test_codec_is_exact_and_survives_malformed_messages() -> None:
    """Guards against rounding errors between daemons, and crashes on truncated messages."""
    amounts = ShareAmounts(requests=12.3456, tokens=900.7, generations=3).round_down()
    report = DemandReport(workspace="north", held_number=7, held=amounts, demand=amounts)
    message = DemandMessage(number=8, sent_at=1000.5, reports=(report,))
    payload = encode_reports(message)
    assert decode_reports(payload).unwrap() == message
    grants = (ShareGrant(workspace="north", amounts=amounts, deadline=1001.5),)
    assert decode_grants(encode_grants(grants)).unwrap() == grants
    for length in range(len(payload)):
        decode_reports(payload[:length])
    assert decode_grants(b"\xff" * 30).is_err()
