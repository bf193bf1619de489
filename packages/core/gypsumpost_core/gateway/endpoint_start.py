"""Identifies one process of an endpoint."""

import attrs


@attrs.frozen(kw_only=True)
class EndpointStart:
    """One process of an endpoint, distinguished from later processes with the same id.

    :param endpoint_id: the endpoint.
    :param started_at: Unix milliseconds at which the observed process started.
    """

    endpoint_id: str
    started_at: int
