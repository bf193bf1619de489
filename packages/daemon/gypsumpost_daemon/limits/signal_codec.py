"""Encoding of what endpoints have said about themselves."""

from pathlib import Path

import capnp
from result import Err, Ok, Result

from gypsumpost_daemon.limits.limit_codec import decode_limits, encode_limits
from gypsumpost_daemon.limits.signal_message import SignalMessage

SCHEMA = capnp.load(str(Path(__file__).with_name("signals.capnp")))


def encode_signals(message: SignalMessage) -> bytes:
    """Encode an ``ENDPOINT_SIGNALS`` message.

    :param message: the message.
    """
    packed: bytes = SCHEMA.Signals.new_message(
        limits=encode_limits(message.limits), leaving=list(message.leaving)
    ).to_bytes_packed()
    return packed


def decode_signals(payload: bytes) -> Result[SignalMessage, str]:
    """Decode an ``ENDPOINT_SIGNALS`` message, or return why it cannot be decoded.

    :param payload: the packed bytes.
    """
    try:
        message = SCHEMA.Signals.from_bytes_packed(payload)
        return Ok(
            SignalMessage(limits=decode_limits(message.limits), leaving=tuple(message.leaving))
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])
