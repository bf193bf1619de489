"""Answers of calls to services."""

from gypsumpost_core.calls.claim_outcome import ClaimOutcome
from gypsumpost_core.failure import Failure
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.callers.error_body import encode_failure, encode_not_run
from gypsumpost_daemon.calls.service_request import ServiceRequest

MAX_OUTCOME_BYTES = 128 * 1024
"""Longest body that is kept with an outcome; the store takes values of at most 1 MB."""

REPLAY_HEADER = "idempotent-replayed"


def fail(status: int, code: str, message: str, run_state: RunState) -> CallerResponse:
    """Encode a failed call.

    :param status: HTTP status code.
    :param code: stable machine-readable code.
    :param message: one sentence for the person who reads the error.
    :param run_state: what is known about the call.
    """
    failure = Failure(status=status, code=code, message=message, run_state=run_state)
    return encode_failure(failure)


def answer_lost_call(reason: str) -> CallerResponse:
    """Answer a call that was sent and whose result is not known.

    :param reason: why there is no answer.
    """
    message = f"The service may have run this call: {reason}."
    return fail(502, "call_outcome_unknown", message, RunState.UNKNOWN)


def answer_unsent_call(reason: str, run_state: RunState) -> CallerResponse:
    """Answer a call that no endpoint received.

    :param reason: why it was not sent.
    :param run_state: what is known of earlier requests under the same key.
    """
    return fail(503, "service_unavailable", f"The call was not sent: {reason}.", run_state)


def refuse_mismatch() -> CallerResponse:
    """Refuse a request whose key stands for another request; this one has never been run."""
    message = "This idempotency key was used with another method, path or body."
    return encode_not_run(422, "idempotency_key_reused", message)


def make_outcome(response: CallerResponse, keep_body: bool = True) -> ClaimOutcome:
    """Return the outcome that repeats of a call are answered with.

    :param response: the service's answer.
    :param keep_body: false to keep the outcome without the body.
    """
    if keep_body and len(response.body) <= MAX_OUTCOME_BYTES:
        return ClaimOutcome(
            run_state=RunState.RUN,
            status=response.status,
            headers=dict(response.headers),
            body=response.body,
        )
    message = f"The call was run with status {response.status}; its answer was too long to keep."
    refused = fail(409, "answer_not_kept", message, RunState.RUN)
    return make_outcome(refused)


def make_lost_outcome(response: CallerResponse) -> ClaimOutcome:
    """Return the outcome of a call that was sent and whose result is not known.

    :param response: the answer to the caller.
    """
    return ClaimOutcome(
        run_state=RunState.UNKNOWN,
        status=response.status,
        headers=dict(response.headers),
        body=response.body,
    )


def replay_outcome(outcome: ClaimOutcome) -> CallerResponse:
    """Answer a repeat of a finished call.

    :param outcome: the kept outcome.
    """
    headers = {**outcome.headers, REPLAY_HEADER: "true"}
    return CallerResponse(status=outcome.status, headers=headers, body=outcome.body)


def echo_headers(request: ServiceRequest, response: CallerResponse) -> CallerResponse:
    """Add the call's names to an answer.

    :param request: the request.
    :param response: its answer.
    """
    headers = {**response.headers, **request.list_echoed_headers()}
    return CallerResponse(status=response.status, headers=headers, body=response.body)
