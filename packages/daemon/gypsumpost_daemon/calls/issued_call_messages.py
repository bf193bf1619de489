"""Encoding of calls that are forwarded to the daemon that issued their key."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import capnp

from gypsumpost_daemon.callers.caller_request import CallerRequest
from gypsumpost_daemon.callers.caller_response import CallerResponse

SCHEMA = capnp.load(str(Path(__file__).with_suffix(".capnp")))


def encode_request(request: CallerRequest, clock_offset: float) -> bytes:
    """Encode a ``RUN_ISSUED_CALL`` request.

    :param request: the caller's request.
    :param clock_offset: Unix time minus monotonic time, in seconds.
    """
    message = SCHEMA.IssuedCallRequest.new_message(
        method=request.method,
        path=request.path,
        query=request.query,
        body=request.body,
        workspace=request.workspace,
        requestId=request.request_id,
        deadline=request.deadline + clock_offset,
    )
    _fill_headers(message, request.headers)
    return message.to_bytes_packed()


def decode_request(payload: bytes, clock_offset: float) -> CallerRequest:
    """Decode a ``RUN_ISSUED_CALL`` request.

    :param payload: the encoded message.
    :param clock_offset: Unix time minus monotonic time, in seconds.
    """
    message = SCHEMA.IssuedCallRequest.from_bytes_packed(payload)
    return CallerRequest(
        method=message.method,
        path=message.path,
        query=message.query,
        headers=_read_headers(message),
        body=bytes(message.body),
        workspace=message.workspace,
        request_id=message.requestId,
        deadline=message.deadline - clock_offset,
    )


def encode_response(response: CallerResponse) -> bytes:
    """Encode the reply to a ``RUN_ISSUED_CALL`` request.

    :param response: the response for the caller.
    """
    message = SCHEMA.IssuedCallReply.new_message(status=response.status, body=response.body)
    _fill_headers(message, response.headers)
    return message.to_bytes_packed()


def decode_response(payload: bytes) -> CallerResponse:
    """Decode the reply to a ``RUN_ISSUED_CALL`` request.

    :param payload: the encoded message.
    """
    message = SCHEMA.IssuedCallReply.from_bytes_packed(payload)
    return CallerResponse(
        status=message.status, headers=_read_headers(message), body=bytes(message.body)
    )


def _fill_headers(message: Any, headers: Mapping[str, str]) -> None:
    slots = message.init("headers", len(headers))
    for slot, (name, value) in zip(slots, headers.items(), strict=True):
        slot.name = name
        slot.value = value


def _read_headers(message: Any) -> dict[str, str]:
    return {header.name: header.value for header in message.headers}
