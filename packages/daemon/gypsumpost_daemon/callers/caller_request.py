"""A caller's HTTP request after authentication."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class CallerRequest:
    """An authenticated request with its complete body.

    :param method: HTTP method in upper case.
    :param path: path without the query.
    :param query: raw query string without the question mark.
    :param headers: headers by lower-case name.
    :param body: the complete body.
    :param workspace: name of the workspace that the bearer key belongs to.
    :param request_id: id of the request in logs and in the ``X-Request-Id`` header.
    :param deadline: monotonic time in seconds until which the caller waits for the response.
    """

    method: str
    path: str
    query: str = ""
    headers: Mapping[str, str]
    body: bytes = b""
    workspace: str
    request_id: str
    deadline: float
