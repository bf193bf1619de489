"""A limit of an endpoint with where it comes from."""

import attrs

from gypsumpost_core.limits.request_limit import RequestLimit


@attrs.define(kw_only=True)
class KnownLimit:
    """A limit as this host knows it.

    :param limit: the limit.
    :param source: host from which it was learned; this host if it heard it from the endpoint.
    :param learned_at: monotonic time in seconds at which this host learned it.
    :param heard_at: monotonic time in seconds at which this host last learned or heard it.
    :param named_at: monotonic time in seconds since when the endpoint has named limits, as far as
        this host knows.
    :param told_until: monotonic time in seconds until which peers are told that it has ended.
    """

    limit: RequestLimit
    source: str
    learned_at: float
    heard_at: float
    named_at: float
    told_until: float
