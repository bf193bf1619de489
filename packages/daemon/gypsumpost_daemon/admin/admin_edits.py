"""Functions shared by the handlers of operators' edits."""

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
"""Seconds for which an edit waits for the store before its outcome is reported as unknown."""

MAX_AUTHOR_CHARACTERS = 100

OUTCOMES: dict[type, tuple[int, str]] = {
    EditAccepted: (200, "accepted"),
    EditConflict: (409, "conflict"),
    EditRefused: (422, "refused"),
    EditNotAccepted: (503, "not_accepted"),
    EditUnknown: (504, "unknown"),
}


def describe_outcome(outcome: EditOutcome) -> CallerResponse:
    """Return the response that reports the outcome of an edit.

    :param outcome: the outcome.
    """
    status, name = OUTCOMES[type(outcome)]
    return create_json_response(status, {"outcome": name, "detail": outcome})


def get_author(request: AdminRequest) -> str:
    """Return the name given by the operator who sent a request, ``unknown`` without one.

    :param request: the request.
    """
    return request.headers.get("x-author", "unknown")[:MAX_AUTHOR_CHARACTERS]


def get_edit_deadline() -> float:
    """Return the monotonic time at which an edit started now stops waiting for the store."""
    return trio.current_time() + EDIT_SECONDS
