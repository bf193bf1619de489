"""Encoding of requests for permits and of their replies."""

from pathlib import Path

import capnp
from result import Err, Ok, Result

from gypsumpost_core.limits.permit_decision import PermitDecision, PermitVerdict
from gypsumpost_core.limits.permit_request import PermitRequest
from gypsumpost_daemon.limits.limit_codec import decode_limits, encode_limits
from gypsumpost_daemon.peers.delay_codec import MILLISECONDS, encode_delay

SCHEMA = capnp.load(str(Path(__file__).with_name("permits.capnp")))


def encode_permit_request(request: PermitRequest, now: float) -> bytes:
    """Encode a ``TAKE_PERMIT`` request.

    :param request: the request.
    :param now: monotonic time in seconds.
    """
    message = SCHEMA.PermitRequest.new_message(
        group=request.group,
        limits=encode_limits(request.limits),
        priority=request.priority,
        queueMs=encode_delay(request.queue_until - now),
        waitMs=encode_delay(request.deadline - now),
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_permit_request(payload: bytes, now: float) -> Result[PermitRequest, str]:
    """Decode a ``TAKE_PERMIT`` request, or return why it cannot be decoded.

    :param payload: the packed bytes.
    :param now: monotonic time in seconds.
    """
    try:
        message = SCHEMA.PermitRequest.from_bytes_packed(payload)
        limits = decode_limits(message.limits)
        return Ok(
            PermitRequest(
                group=message.group,
                limits=limits,
                priority=message.priority,
                queue_until=now + message.queueMs / MILLISECONDS,
                deadline=now + message.waitMs / MILLISECONDS,
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])


def encode_permit_reply(decision: PermitDecision, now: float) -> bytes:
    """Encode the reply to a ``TAKE_PERMIT`` request.

    :param decision: the decision.
    :param now: monotonic time in seconds.
    """
    message = SCHEMA.PermitReply.new_message(
        verdict=decision.verdict.value,
        key=decision.key,
        opensInMs=encode_delay(decision.opens_at - now),
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_permit_reply(payload: bytes, now: float) -> Result[PermitDecision, str]:
    """Decode the reply to a ``TAKE_PERMIT`` request, or return why it cannot be decoded.

    :param payload: the packed bytes.
    :param now: monotonic time in seconds.
    """
    try:
        message = SCHEMA.PermitReply.from_bytes_packed(payload)
        return Ok(
            PermitDecision(
                verdict=PermitVerdict(message.verdict),
                key=message.key,
                opens_at=now + message.opensInMs / MILLISECONDS,
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])
