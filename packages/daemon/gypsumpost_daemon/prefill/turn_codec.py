"""Encoding of requests for prefill time and of their replies."""

from pathlib import Path

import capnp
from result import Err, Ok, Result

from gypsumpost_core.prefill.prefill_turns import PrefillTurn
from gypsumpost_daemon.peers.delay_codec import MILLISECONDS, encode_delay
from gypsumpost_daemon.prefill.turn_request import TurnRequest

SCHEMA = capnp.load(str(Path(__file__).with_name("prefill_turns.capnp")))


def encode_turn_request(request: TurnRequest) -> bytes:
    """Encode a ``PREFILL_TURN`` request.

    :param request: the request.
    """
    message = SCHEMA.TurnRequest.new_message(
        engine=request.engine,
        prefillMs=encode_delay(request.seconds),
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_turn_request(payload: bytes) -> Result[TurnRequest, str]:
    """Decode a ``PREFILL_TURN`` request, or return why it cannot be decoded.

    :param payload: the packed bytes.
    """
    try:
        message = SCHEMA.TurnRequest.from_bytes_packed(payload)
        return Ok(
            TurnRequest(
                engine=message.engine,
                seconds=message.prefillMs / MILLISECONDS,
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])


def encode_turn_reply(turn: PrefillTurn, now: float) -> bytes:
    """Encode the reply to a ``PREFILL_TURN`` request.

    :param turn: the reply.
    :param now: monotonic time in seconds.
    """
    message = SCHEMA.TurnReply.new_message(
        granted=turn.granted, opensInMs=encode_delay(turn.opens_at - now)
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_turn_reply(payload: bytes, now: float) -> Result[PrefillTurn, str]:
    """Decode the reply to a ``PREFILL_TURN`` request, or return why it cannot be decoded.

    :param payload: the packed bytes.
    :param now: monotonic time in seconds.
    """
    try:
        message = SCHEMA.TurnReply.from_bytes_packed(payload)
        return Ok(
            PrefillTurn(granted=message.granted, opens_at=now + message.opensInMs / MILLISECONDS)
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])
