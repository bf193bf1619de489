"""A complete response of an endpoint."""

import attrs


@attrs.frozen(kw_only=True)
class EndpointAnswer:
    """Status, headers and body as the endpoint sent them.

    :param status: status code.
    :param headers: headers in lower case.
    :param body: the body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = attrs.field(repr=False)
