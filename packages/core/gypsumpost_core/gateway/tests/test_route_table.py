"""Tests of the lookup of routes and workspaces."""

from gypsumpost_core.gateway.caller_limits import CallerLimits
from gypsumpost_core.gateway.configuration import Configuration
from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.route import Route
from gypsumpost_core.gateway.route_table import RouteTable
from gypsumpost_core.gateway.service_share import ServiceShare
from gypsumpost_core.gateway.workspace import Workspace


def create_route(prefix, host="a.example"):
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        shares=(ServiceShare(service="s", weight=1.0),),
        timeout=1.0,
        objective=0.1,
        max_attempts=2,
    )


def create_table(*routes, workspaces=None):
    return RouteTable(
        configuration=Configuration(
            version=1, routes=routes, services=(), workspaces=workspaces, limits=CallerLimits()
        )
    )


def test_the_longest_prefix_wins():
    """Guards against a match that depends on the order of the routes in the configuration."""
    table = create_table(create_route("/a/"), create_route("/a/b/"), create_route("/"))
    found = [table.find_route("A.example:80", path) for path in ("/a/b/c", "/a/bc", "/x")]
    assert [route.prefix for route in found] == ["/a/b/", "/a/", "/"]


def test_other_hosts_and_paths_have_no_route():
    """Guards against a request that is accepted without a matching route."""
    table = create_table(create_route("/a/"))
    assert table.find_route("b.example", "/a/") is None
    assert table.find_route("a.example", "/a") is None
    assert table.find_route("", "/a/") is None


def test_keys_identify_workspaces():
    """Guards against a key that maps to the wrong workspace, or an empty key that maps to one."""
    owners = (Workspace(name="w1", keys=("k1", "k2")), Workspace(name="w2", keys=("k3",)))
    table = create_table(workspaces=owners)
    assert [table.find_workspace(key).name for key in ("k2", "k3")] == ["w1", "w2"]
    assert table.find_workspace("") is None and table.needs_keys
    assert not create_table().needs_keys
