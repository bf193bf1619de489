"""Failure of a request to an endpoint."""

import attrs

NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 405, 409, 413, 415, 422, 429, 431, 503})
"""Statuses with which an endpoint says that it refused a request before running it."""


@attrs.frozen(kw_only=True)
class EngineFailure:
    """Why an endpoint gave no answer, or no more of it.

    :param reason: a short description.
    :param may_have_run: false only if the endpoint cannot have run the request.
    :param status: HTTP status of a refusal, ``None`` if there was no complete answer.
    :param body: body of a refusal, cut to a bounded length.
    :param refused: true if the host refused the connection, so that nothing listens there.
    """

    reason: str
    may_have_run: bool
    status: int | None = None
    body: bytes = b""
    refused: bool = False
