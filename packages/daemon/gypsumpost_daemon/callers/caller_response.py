"""A whole HTTP response for a caller."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class CallerResponse:
    """A response whose body is known in full.

    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    :param body: the whole body.
    """

    status: int
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
