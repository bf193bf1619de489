"""Responses to service calls."""

from gypsumpost_core.calls.claim_outcome import ClaimOutcome
from gypsumpost_core.failure import Failure
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.callers.error_body import encode_failure, encode_not_run
from gypsumpost_daemon.calls.service_request import ServiceRequest

MAX_OUTCOME_BYTES = 128 * 1024
"""Longest body that is stored with an outcome; the store accepts values of at most 1 MB."""

REPLAY_HEADER = "idempotent-replayed"


def create_failure_response(
    status: int, code: str, message: str, run_state: RunState, retry_at: float | None = None
) -> CallerResponse:
    """Return an error response.

    :param status: HTTP status code.
    :param code: stable machine-readable code.
    :param message: human-readable description in one sentence.
    :param run_state: run state of the call.
    :param retry_at: Unix time in seconds from which a retry may succeed, ``None`` if unknown.
    """
    failure = Failure(
        status=status, code=code, message=message, run_state=run_state, retry_at=retry_at
    )
    return encode_failure(failure)


def answer_lost_call(reason: str) -> CallerResponse:
    """Return the response to a call that was sent and whose result is unknown.

    :param reason: why there is no response from the service.
    """
    message = f"The service may have run this call: {reason}."
    return create_failure_response(502, "call_outcome_unknown", message, RunState.UNKNOWN)


def answer_unsent_call(
    reason: str, run_state: RunState, retry_at: float | None = None
) -> CallerResponse:
    """Return the response to a call that was not sent to any endpoint.

    :param reason: why it was not sent.
    :param run_state: run state of the call, including earlier requests under the same key.
    :param retry_at: Unix time in seconds from which a retry may succeed, ``None`` if unknown.
    """
    message = f"The call was not sent: {reason}."
    return create_failure_response(503, "service_unavailable", message, run_state, retry_at)


def refuse_mismatch() -> CallerResponse:
    """Refuse a request whose key was used for a different request; this one has not been run."""
    message = "This idempotency key was used with another method, path or body."
    return encode_not_run(422, "idempotency_key_reused", message)


def make_outcome(response: CallerResponse, keep_body: bool = True) -> ClaimOutcome:
    """Return the outcome to store for retries of a finished call.

    :param response: the service's response.
    :param keep_body: false to store an error that states the status, instead of the body.
    """
    if keep_body and len(response.body) <= MAX_OUTCOME_BYTES:
        return ClaimOutcome(
            run_state=RunState.RUN,
            status=response.status,
            headers=dict(response.headers),
            body=response.body,
        )
    message = f"The call was run with status {response.status}; its answer was too long to keep."
    refused = create_failure_response(409, "answer_not_kept", message, RunState.RUN)
    return make_outcome(refused)


def make_lost_outcome(response: CallerResponse) -> ClaimOutcome:
    """Return the outcome to store for a call that was sent and whose result is unknown.

    :param response: the response to the caller.
    """
    return ClaimOutcome(
        run_state=RunState.UNKNOWN,
        status=response.status,
        headers=dict(response.headers),
        body=response.body,
    )


def replay_outcome(outcome: ClaimOutcome) -> CallerResponse:
    """Return the response to a retry of a finished call.

    :param outcome: the stored outcome.
    """
    headers = {**outcome.headers, REPLAY_HEADER: "true"}
    return CallerResponse(status=outcome.status, headers=headers, body=outcome.body)


def echo_headers(request: ServiceRequest, response: CallerResponse) -> CallerResponse:
    """Return a response with the headers that identify the call added.

    :param request: the request.
    :param response: its response.
    """
    headers = {**response.headers, **request.list_echoed_headers()}
    return CallerResponse(status=response.status, headers=headers, body=response.body)
