"""Responses of the administration interface."""

from typing import Any

import attrs
import orjson

from gypsumpost_daemon.callers.caller_response import CallerResponse


def create_json_response(status: int, content: Any) -> CallerResponse:
    """Return a response with a JSON body.

    :param status: HTTP status code.
    :param content: JSON-serializable values or attrs instances.
    """
    body = orjson.dumps(content, default=lambda value: attrs.asdict(value))
    return CallerResponse(status=status, headers={"content-type": "application/json"}, body=body)


def create_error_response(status: int, code: str, message: str) -> CallerResponse:
    """Return a response that describes an error.

    :param status: HTTP status code.
    :param code: stable machine-readable code.
    :param message: one sentence for the operator.
    """
    return create_json_response(status, {"error": {"code": code, "message": message}})
