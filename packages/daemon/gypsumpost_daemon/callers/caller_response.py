"""A complete HTTP response to a caller."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class CallerResponse:
    """A response with a complete body, as opposed to a stream.

    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    :param body: the complete body.
    """

    status: int
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
