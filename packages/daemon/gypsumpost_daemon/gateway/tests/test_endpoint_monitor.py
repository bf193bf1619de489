"""Tests of the cancellation of attempts when their endpoint is lost."""

from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.tests.endpoint_fixtures import create_fleet, create_record
from gypsumpost_daemon.gateway.endpoint_monitor import EndpointMonitor

ATTEMPTS = 40


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


async def test_attempts_are_cancelled_in_the_order_in_which_they_began():
    """Guards against a course of events that follows memory addresses.

    An unused allocation changed a whole day of the bench, as a set held the scopes.
    """
    fleet = create_fleet(create_record("e1"))
    monitor = EndpointMonitor(
        directory=FleetOnly(fleet=fleet),  # type: ignore[arg-type]
        identifier=None,  # type: ignore[arg-type]
        refresh=refresh,
        count_hosts=lambda: 1,
    )
    cancelled: list[RecordingScope] = []
    scopes = [RecordingScope(cancelled=cancelled) for _ in range(ATTEMPTS)]
    scopes = scopes[::3] + scopes[1::3] + scopes[2::3]
    for scope in scopes:
        monitor.watch("e1", scope)  # type: ignore[arg-type]
    monitor.unwatch("e1", scopes[5])  # type: ignore[arg-type]
    monitor.mark_lost(create_record("e1"), "the test says so")
    assert cancelled == scopes[:5] + scopes[6:]
