"""Tests of the cancellation of attempts when their endpoint is lost."""

from functools import partial

import trio
import trio.testing

from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.tests.endpoint_fixtures import create_fleet, create_record, get_state
from gypsumpost_daemon.engines.endpoint_probe import ProbeResult
from gypsumpost_daemon.gateway.endpoint_monitor import EndpointMonitor

ATTEMPTS = 40
MODULE = "gypsumpost_daemon.gateway.endpoint_monitor.probe_endpoint"


class FleetOnly:
    """Stands for the directory, of which the monitor needs the fleet only.

    :param fleet: the endpoints.
    """

    def __init__(self, *, fleet: EndpointFleet) -> None:
        self.fleet = fleet


class RecordingScope:
    """Stands for a cancel scope and records its cancellation.

    :param cancelled: the scopes in the order in which they were cancelled.
    """

    def __init__(self, *, cancelled: list["RecordingScope"]) -> None:
        self._cancelled = cancelled

    def cancel(self) -> None:
        """Record the cancellation."""
        self._cancelled.append(self)


async def refresh():
    """Stand for a read of the store."""


def create_monitor(fleet: EndpointFleet) -> EndpointMonitor:
    """Return a monitor of endpoints that it does not identify."""
    return EndpointMonitor(
        directory=FleetOnly(fleet=fleet),  # type: ignore[arg-type]
        identifier=None,  # type: ignore[arg-type]
        engine_probes=None,  # type: ignore[arg-type]
        refresh=refresh,
        count_hosts=lambda: 1,
    )


async def test_attempts_are_cancelled_in_the_order_in_which_they_began():
    """Guards against a course of events that follows memory addresses.

    An unused allocation changed a whole day of the bench, as a set held the scopes.
    """
    fleet = create_fleet(create_record("e1"))
    monitor = create_monitor(fleet)
    cancelled: list[RecordingScope] = []
    scopes = [RecordingScope(cancelled=cancelled) for _ in range(ATTEMPTS)]
    scopes = scopes[::3] + scopes[1::3] + scopes[2::3]
    for scope in scopes:
        monitor.watch("e1", scope)  # type: ignore[arg-type]
    monitor.unwatch("e1", scopes[5])  # type: ignore[arg-type]
    monitor.mark_lost(create_record("e1"), "the test says so")
    assert cancelled == scopes[:5] + scopes[6:]


async def probe_slowly(outcome, address):
    await trio.sleep(0.05)
    return outcome


async def test_a_check_outlives_the_task_that_began_it(monkeypatch, autojump_clock):
    """Guards against an answer of a lost endpoint that counts as complete.

    Several tasks share a probe. If the first one was cancelled, the others took the endpoint for
    alive.
    """
    monkeypatch.setattr(MODULE, partial(probe_slowly, ProbeResult.REFUSED))
    fleet = create_fleet(create_record("e1"))
    monitor = create_monitor(fleet)
    alive: list[bool] = []

    async def check() -> None:
        alive.append(await monitor.check(create_record("e1"), "test"))

    async with trio.open_nursery() as nursery, trio.open_nursery() as first:
        first.start_soon(check)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(check)
        nursery.start_soon(check)
        await trio.testing.wait_all_tasks_blocked()
        first.cancel_scope.cancel()
    assert alive == [False, False] and get_state(fleet, "e1").lost


async def test_an_endpoint_that_cannot_be_probed_is_not_lost(monkeypatch, autojump_clock):
    """Guards against losses that a host reports because it has no descriptors left."""
    monkeypatch.setattr(MODULE, partial(probe_slowly, ProbeResult.NOT_TRIED))
    fleet = create_fleet(create_record("e1"))
    assert not await create_monitor(fleet).check(create_record("e1"), "test")
    assert not get_state(fleet, "e1").lost
