"""Tests of the checks and differences of a configuration."""

from typing import Any

import attrs
import pytest

from gypsumpost_core.checks import limit_checks, route_checks, service_checks, workspace_checks
from gypsumpost_core.checks.configuration_check import (
    CONFIGURATION_CHECKS,
    ConfigurationSubject,
    check_configuration,
)
from gypsumpost_core.checks.configuration_difference import compare_configurations
from gypsumpost_core.gateway.caller_limits import CallerLimits
from gypsumpost_core.gateway.configuration import Configuration
from gypsumpost_core.gateway.engine_limits import EngineLimits
from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.route import Route
from gypsumpost_core.gateway.route_table import RouteTable
from gypsumpost_core.gateway.service import Service
from gypsumpost_core.gateway.service_share import ServiceShare
from gypsumpost_core.gateway.workspace import Workspace
from gypsumpost_core.lists.workspace_plan import compute_key_digest

MODULES = (limit_checks, route_checks, service_checks, workspace_checks)


def create_route(name: str = "lookup", service: str = "gate", **changes: Any) -> Route:
    fields: dict[str, Any] = {
        "host": "a.example",
        "prefix": f"/{name}/",
        "kind": RequestKind.IDEMPOTENT,
        "shares": (ServiceShare(service=service, weight=1.0),),
        "timeout": 0.6,
        "objective": 0.1,
        "max_attempts": 2,
    }
    return Route(name=name, **fields | changes)


GATE = Service(name="gate")
ENGINES = EngineLimits(slots=8, memory_tokens=1000, supports_copies=True)
NORTH = Workspace(name="north", keys=("key-1",))
SOUND = Configuration(
    version=4,
    routes=(create_route(),),
    services=(GATE,),
    workspaces=(NORTH,),
    limits=CallerLimits(),
)
SOUTH = Workspace(name="south", keys=("key-1",))
DIGESTS = [compute_key_digest(key) for key in ("key-1", "key-2")]
HALVES = (ServiceShare(service="gate", weight=1.0), ServiceShare(service="gate", weight=0.0))
STREAMS = create_route("write", kind=RequestKind.STREAM)
TWIN = create_route("twin", prefix="/lookup/")

FAULTS = [
    ("hidden-route", {"routes": (create_route(), TWIN)}),
    ("hidden-route", {"routes": (create_route(host="a.example:80"),)}),
    ("hidden-route", {"routes": (create_route(prefix="lookup/"),)}),
    ("repeated-route", {"routes": (create_route(), create_route(prefix="/other/"))}),
    ("unknown-service", {"routes": (create_route(), create_route("next", "absent"))}),
    ("stream-without-engines", {"routes": (STREAMS,)}),
    ("unused-share", {"routes": (create_route(shares=HALVES),)}),
    ("route-time", {"routes": (create_route(timeout=0.05),)}),
    ("route-time", {"routes": (create_route(timeout=0.0),)}),
    ("route-time", {"routes": (create_route(max_attempts=7),)}),
    ("route-time", {"routes": (create_route(max_attempts=0),)}),
    ("unused-service", {"services": (GATE, Service(name="spare"))}),
    ("repeated-service", {"services": (GATE, GATE)}),
    ("health-path", {"services": (Service(name="gate", health_path="health"),)}),
    ("repeated-key", {"workspaces": (NORTH, SOUTH)}),
    ("repeated-key", {"workspaces": (Workspace(name="north", keys=("k", "k")),)}),
    ("workspace-without-keys", {"workspaces": (Workspace(name="north", keys=()),)}),
    ("repeated-workspace", {"workspaces": (NORTH, Workspace(name="north", keys=("k",)))}),
    ("caller-limits", {"limits": CallerLimits(idle_seconds=0)}),
    ("caller-limits", {"limits": CallerLimits(max_body=-1)}),
    ("body-over-memory", {"limits": CallerLimits(max_body=2 << 30)}),
    ("version", {"version": 0}),
    ("version", {"version": 3}),
]


def check(configuration: Configuration) -> list[str]:
    former = attrs.evolve(SOUND, version=3)
    subject = ConfigurationSubject(
        configuration=configuration, in_force=former, memory_bytes=1 << 30
    )
    return [finding.check for finding in check_configuration(subject)]


def test_a_sound_configuration_has_no_findings():
    """Guards against a check that reports what is in order."""
    assert check(SOUND) == []


@pytest.mark.parametrize(("name", "changes"), FAULTS)
def test_each_fault_is_found_by_its_check_alone(name, changes):
    """Guards against a check that misses its fault, and one that reports another's."""
    assert check(attrs.evolve(SOUND, **changes)) == [name]


def test_each_check_is_tested():
    """Guards against a check that is registered without a fault here."""
    assert {name for name, _ in FAULTS} == set(CONFIGURATION_CHECKS.names())


def test_a_route_that_is_reported_as_hidden_gets_no_request():
    """Guards against a check that knows other rules than the table of the daemons."""
    table = RouteTable(configuration=attrs.evolve(SOUND, routes=(create_route(), TWIN)))
    found = table.find_route("a.example", "/lookup/1")
    assert found is not None and found.name == "lookup"


def test_differences_tell_moves_and_keys_that_end():
    """Guards against a change that is left out, or a key that is shown."""
    after = attrs.evolve(
        SOUND,
        routes=(create_route(service="gate-2", timeout=0.7), create_route("new")),
        services=(Service(name="gate-2", engine=ENGINES),),
        workspaces=(Workspace(name="north", keys=("key-2",)), SOUTH),
        limits=CallerLimits(max_body=5),
    )
    found = compare_configurations(SOUND, after)
    assert [(difference.subject, difference.change) for difference in found] == [
        ("limits", "max_body changes from 8388608 to 5"),
        ("route lookup", "moves from service gate to service gate-2"),
        ("route lookup", "timeout changes from 0.6 to 0.7"),
        ("route new", "is new"),
        ("service gate", "is gone"),
        ("service gate-2", "is new"),
        ("workspace north", f"the key {DIGESTS[1][:8]}… is new"),
        ("workspace north", f"the key {DIGESTS[0][:8]}… moves to workspace south"),
        ("workspace south", "is new"),
    ]
    assert "key-1" not in repr(found) and all(difference.effect for difference in found)
    assert compare_configurations(SOUND, SOUND) == ()
