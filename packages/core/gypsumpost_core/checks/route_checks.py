"""Checks of the routes of a configuration."""

from collections.abc import Iterator

from gypsumpost_core.checks.configuration_check import CONFIGURATION_CHECKS, ConfigurationSubject
from gypsumpost_core.checks.finding import Finding
from gypsumpost_core.checks.repeated_names import find_repeated
from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.route import Route
from gypsumpost_core.gateway.route_table import strip_port


@CONFIGURATION_CHECKS.register("hidden-route")
def find_hidden_routes(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the routes that no request matches.

    :param subject: the configuration.
    """
    first: dict[tuple[str, str], Route] = {}
    findings = []
    for route in subject.configuration.routes:
        other = first.setdefault((route.host, route.prefix), route)
        reasons = list(_explain_unmatched(route))
        if other is not route:
            reasons.append(
                f"route {other.name} has the same host {route.host!r} and prefix"
                f" {route.prefix!r} and comes first"
            )
        findings += [_report("hidden-route", route, f"never matches: {text}") for text in reasons]
    return findings


@CONFIGURATION_CHECKS.register("repeated-route")
def find_repeated_routes(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the names that several routes have.

    :param subject: the configuration.
    """
    return find_repeated("repeated-route", "route", subject.configuration.routes)


@CONFIGURATION_CHECKS.register("unknown-service")
def find_unknown_services(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the routes to services that the configuration does not have.

    :param subject: the configuration.
    """
    known = {service.name for service in subject.configuration.services}
    return [
        _report("unknown-service", route, f"there is no service {share.service!r}")
        for route in subject.configuration.routes
        for share in route.shares
        if share.service not in known
    ]


@CONFIGURATION_CHECKS.register("stream-without-engines")
def find_streams_without_engines(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the routes of streams to services whose endpoints are not engines.

    :param subject: the configuration.
    """
    plain = {service.name for service in subject.configuration.services if service.engine is None}
    return [
        _report(
            "stream-without-engines",
            route,
            f"all requests are refused: it carries streams, and service {share.service} has no"
            " engines",
        )
        for route in subject.configuration.routes
        if route.kind is RequestKind.STREAM
        for share in route.shares
        if share.service in plain
    ]


@CONFIGURATION_CHECKS.register("unused-share")
def find_unused_shares(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the services that a route names with weight 0 beside others.

    :param subject: the configuration.
    """
    return [
        _report("unused-share", route, f"service {share.service} gets no requests: its weight is 0")
        for route in subject.configuration.routes
        for share in route.shares
        if not share.weight
    ]


@CONFIGURATION_CHECKS.register("route-time")
def find_contradicting_times(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the routes whose timeout leaves no time for the objective or for all attempts.

    :param subject: the configuration.
    """
    return [
        _report("route-time", route, text)
        for route in subject.configuration.routes
        for text in _explain_times(route)
    ]


def _explain_unmatched(route: Route) -> Iterator[str]:
    if strip_port(route.host) != route.host:
        yield f"the host {route.host!r} has a port, and hosts are compared without one"
    if route.prefix and not route.prefix.startswith("/"):
        yield f"the prefix {route.prefix!r} does not begin with a slash"


def _explain_times(route: Route) -> Iterator[str]:
    timeout, objective = route.timeout, route.objective
    if timeout <= 0:
        yield f"all requests time out at once: the timeout is {timeout:g} s; accepted: above 0"
        return
    if route.max_attempts < 1:
        yield f"no request is sent: {route.max_attempts} attempts; accepted: 1 or more"
    if timeout < objective:
        yield f"the timeout of {timeout:g} s is shorter than the target latency of {objective:g} s"
    elif _times_out_attempts(route) and (route.max_attempts - 1) * objective >= timeout:
        yield (
            f"attempt {route.max_attempts} begins after the timeout of {timeout:g} s if each one"
            f" before it takes the target latency of {objective:g} s"
        )


def _times_out_attempts(route: Route) -> bool:
    # Streams go on at another engine only when one is lost.
    return route.retryable and route.kind is not RequestKind.STREAM and route.max_attempts > 1


def _report(check: str, route: Route, message: str) -> Finding:
    return Finding(check=check, subject=f"route {route.name}", message=message)
