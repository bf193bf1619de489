"""Failure of a request to an endpoint."""

from collections.abc import Mapping

import attrs

NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 405, 409, 413, 415, 422, 429, 431, 503})
"""Statuses that mean that the endpoint refused the request without running it."""


@attrs.frozen(kw_only=True)
class EngineFailure:
    """Why a request got no response, an incomplete one or a refusal.

    :param reason: short description for logs.
    :param may_have_run: false only if the endpoint cannot have run the request.
    :param status: HTTP status of the response, ``None`` if none was received or a stream was lost.
    :param body: body of a refusal, truncated to a bounded length.
    :param headers: headers of a refusal by lower-case name.
    :param refused: true if the connection was refused, so that nothing listens at the address.
    :param local: true if this host could not try, which says nothing about the endpoint.
    """

    reason: str
    may_have_run: bool
    status: int | None = None
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)
    refused: bool = False
    local: bool = False
