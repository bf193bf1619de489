"""Names one start of an endpoint."""

import attrs


@attrs.frozen(kw_only=True)
class EndpointStart:
    """An endpoint as it was seen, as opposed to a later process with the same id.

    :param endpoint_id: the endpoint.
    :param started_at: Unix milliseconds of the start that was observed.
    """

    endpoint_id: str
    started_at: int
