"""What one peer reports at present, and since when."""

from collections.abc import Iterable

import attrs

from gypsumpost_core.gateway.endpoint_start import EndpointStart


@attrs.define(kw_only=True)
class HeardReports:
    """The losses and returns in the latest beacon of a peer, and since when it reports them.

    :param in_own_domain: true if the peer is of this host's domain and reports only what it has
        observed itself.
    :param losses: monotonic time in seconds by process that it reports as lost.
    :param returns: monotonic time in seconds by process that it reports as alive again.
    :param expires_at: monotonic time in seconds.
    """

    in_own_domain: bool
    losses: dict[EndpointStart, float] = attrs.field(factory=dict)
    returns: dict[EndpointStart, float] = attrs.field(factory=dict)
    expires_at: float = 0.0


def update_times(
    times: dict[EndpointStart, float], starts: Iterable[EndpointStart], now: float
) -> dict[EndpointStart, float]:
    """Return since when each process is reported.

    :param times: the times as they were before this beacon.
    :param starts: the processes in this beacon.
    :param now: monotonic time in seconds.
    """
    return {start: times.get(start, now) for start in starts}
