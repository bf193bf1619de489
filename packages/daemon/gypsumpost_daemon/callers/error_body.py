"""Encoding of failures as OpenAI error objects with the additional field ``run_state``."""

import math
import time

import orjson

from gypsumpost_core.failure import Failure
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_response import CallerResponse

SERVER_ERROR_STATUS = 500
MIN_RETRY_SECONDS = 1


def encode_failure(failure: Failure) -> CallerResponse:
    """Encode a failure as an HTTP response.

    :param failure: the failure; ``retry_at`` is sent as the header ``Retry-After`` in seconds.
    """
    server_side = failure.status >= SERVER_ERROR_STATUS
    error = {
        "message": failure.message,
        "type": "server_error" if server_side else "invalid_request_error",
        "param": None,
        "code": failure.code,
        "run_state": failure.run_state.value,
    }
    headers = {"content-type": "application/json"}
    if failure.retry_at is not None:
        seconds = max(MIN_RETRY_SECONDS, math.ceil(failure.retry_at - time.time()))
        headers["retry-after"] = str(seconds)
    return CallerResponse(
        status=failure.status, headers=headers, body=orjson.dumps({"error": error})
    )


def encode_not_run(status: int, code: str, message: str) -> CallerResponse:
    """Encode the refusal of a request that was definitely not run.

    :param status: HTTP status code.
    :param code: stable machine-readable code.
    :param message: one sentence that describes the error to its reader.
    """
    failure = Failure(status=status, code=code, message=message, run_state=RunState.NOT_RUN)
    return encode_failure(failure)
