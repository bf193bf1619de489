"""A request whose answer is evidence about a version."""

import attrs


@attrs.define(kw_only=True, eq=False)
class SentRequest:
    """A request whose answer is evidence about a version.

    :param service: name of the service.
    :param version: version of the endpoint.
    :param route: id of the route.
    :param group: endpoint group, see :class:`EvidenceKey`.
    :param sent_at_ms: Unix milliseconds of the sending.
    :param answered: true once the answer has begun, or the request has failed.
    :param slow: true once the request is counted as slow.
    :param failed: true once the request is counted as a failure.
    """

    service: str
    version: str
    route: str
    group: int
    sent_at_ms: int
    answered: bool = False
    slow: bool = False
    failed: bool = False
