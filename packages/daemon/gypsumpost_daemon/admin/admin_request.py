"""A request to the administration interface."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class AdminRequest:
    """An authenticated request from an operator.

    :param method: HTTP method in upper case.
    :param path: path without the query.
    :param query: query parameters.
    :param headers: headers by lower-case name.
    :param body: the whole body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b""
