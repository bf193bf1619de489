"""What the handlers of operators' edits share."""

import trio

from gypsumpost_daemon.admin.admin_request import AdminRequest
from gypsumpost_daemon.admin.admin_response import create_json_response
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.lists.edit_outcome import (
    EditAccepted,
    EditConflict,
    EditNotAccepted,
    EditOutcome,
    EditRefused,
    EditUnknown,
)

EDIT_SECONDS = 10.0
"""How long an edit may wait for the store until its outcome is reported as unknown."""

MAX_AUTHOR_CHARACTERS = 100

OUTCOMES: dict[type, tuple[int, str]] = {
    EditAccepted: (200, "accepted"),
    EditConflict: (409, "conflict"),
    EditRefused: (422, "refused"),
    EditNotAccepted: (503, "not_accepted"),
    EditUnknown: (504, "unknown"),
}


def describe_outcome(outcome: EditOutcome) -> CallerResponse:
    """Return the response that reports how an edit ended.

    :param outcome: the outcome.
    """
    status, name = OUTCOMES[type(outcome)]
    return create_json_response(status, {"outcome": name, "detail": outcome})


def get_author(request: AdminRequest) -> str:
    """Return the name of the operator who sent a request.

    :param request: the request.
    """
    return request.headers.get("x-author", "unknown")[:MAX_AUTHOR_CHARACTERS]


def get_edit_deadline() -> float:
    """Return the process time at which an edit that begins now stops waiting for the store."""
    return trio.current_time() + EDIT_SECONDS
