"""Checks whose answer an endpoint has sent, and whether it says that the request has not run."""

from collections.abc import Sequence

from gypsumpost_daemon.gateway.attempt_failure import AttemptFailure
from gypsumpost_daemon.gateway.header_names import HeaderNames
from gypsumpost_daemon.gateway.message_headers import find_header

MISDIRECTED = 421


def is_own_answer(
    status: int, headers: Sequence[tuple[bytes, bytes]], names: HeaderNames, request_id: str
) -> bool:
    """Return true if an answer is that of the expected endpoint to the request.

    :param status: status code.
    :param headers: headers of the answer in lower case.
    :param names: names of the platform's headers.
    :param request_id: id of the request that was sent.
    """
    answered = find_header(headers, names.request_id)
    matches = answered is None or answered.decode("latin-1") == request_id
    return matches and status != MISDIRECTED


def check_answer(
    status: int, headers: Sequence[tuple[bytes, bytes]], names: HeaderNames, request_id: str
) -> AttemptFailure | None:
    """Return why an answer cannot be passed on, ``None`` if it is the endpoint's own.

    Whose answer it is comes first: a refusal of another request says nothing about this one.

    :param status: status code.
    :param headers: headers of the answer in lower case.
    :param names: names of the platform's headers.
    :param request_id: id of the request that was sent.
    """
    answered = find_header(headers, names.request_id)
    if answered is not None and answered.decode("latin-1") != request_id:
        return AttemptFailure(reason="answer to another request", may_have_run=True)
    if status == MISDIRECTED:
        return AttemptFailure(
            reason="another endpoint", may_have_run=False, sent=False, replaced=True
        )
    if find_header(headers, names.not_run) is not None:
        return AttemptFailure(reason=f"refused with {status}", may_have_run=False)
    if find_header(headers, names.seal) is None:
        return AttemptFailure(reason=f"unsealed {status}", may_have_run=True)
    return None
