"""The gauges of the limits on requests."""

import trio

from gypsumpost_core.limits.known_limit import KnownLimit
from gypsumpost_core.limits.request_limits import RequestLimits
from gypsumpost_daemon.limits.permit_desk import PermitDesk
from gypsumpost_daemon.telemetry.metrics import Metrics


def add_limit_gauges(metrics: Metrics, *, limits: RequestLimits, desk: PermitDesk) -> None:
    """Add gauges whose values are computed at each scrape.

    :param metrics: the metrics of the process.
    :param limits: the limits that endpoints have named.
    :param desk: grants permits for the groups that this host coordinates.
    """
    metrics.add_gauge_family(
        "gypsumpost_endpoint_limit_per_second",
        "Requests per second that an endpoint takes from all hosts, by who has told it.",
        "process",
        "source",
        read=lambda: {
            _label(known): known.limit.per_second or 0.0 for known in limits.list_in_force()
        },
    )
    metrics.add_gauge_family(
        "gypsumpost_endpoint_limit_seconds",
        "Time since which an endpoint has named limits, by who has told it.",
        "process",
        "source",
        read=lambda: {
            _label(known): trio.current_time() - known.named_at for known in limits.list_in_force()
        },
    )
    metrics.add_gauge_family(
        "gypsumpost_endpoint_limit_used",
        "Permits that this host has granted in the last second, by endpoint and host.",
        "process",
        "host",
        read=desk.read_usage,
    )
    metrics.add_gauge(
        "gypsumpost_permits_waiting",
        "Requests of all hosts that wait for a permit of this host.",
        desk.count_waiting,
    )


def _label(known: KnownLimit) -> tuple[str, str]:
    return known.limit.key, known.source
