"""A complete response of an endpoint."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class EngineAnswer:
    """A response with its complete body, of any status.

    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    :param body: the body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
