"""What an endpoint says of itself in the directory."""

import attrs


@attrs.frozen(kw_only=True)
class EndpointRecord:
    """A start of an endpoint.

    :param endpoint_id: id of the endpoint, which it may keep over a restart.
    :param service: the service that it belongs to.
    :param address: ``ip:port``.
    :param failure_domain: the failure domain that it stands in.
    :param slots: requests that it runs at once.
    :param leaving: true if it takes no new work.
    :param started_at: Unix milliseconds of its start; another value is another process.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    started_at: int
