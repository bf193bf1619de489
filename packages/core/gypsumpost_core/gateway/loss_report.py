"""A report that an endpoint is lost."""

import attrs


@attrs.frozen(kw_only=True)
class LossReport:
    """One start of an endpoint that does not answer.

    :param endpoint_id: the endpoint.
    :param started_at: Unix milliseconds of the start that was observed.
    """

    endpoint_id: str
    started_at: int
