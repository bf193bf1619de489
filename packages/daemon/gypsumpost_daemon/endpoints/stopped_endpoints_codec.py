"""Encoding of the stopped endpoints in messages between daemons."""

from pathlib import Path

import capnp
from result import Err, Ok, Result

from gypsumpost_daemon.endpoints.stopped_endpoints import StoppedEndpoints

SCHEMA = capnp.load(str(Path(__file__).with_name("endpoint_leaving.capnp")))


def encode_stopped(stopped: StoppedEndpoints) -> bytes:
    """Encode stopped endpoints as a packed message.

    :param stopped: the endpoints.
    """
    message = SCHEMA.StoppedEndpoints.new_message(
        revision=stopped.revision, names=sorted(stopped.names)
    )
    return bytes(message.to_bytes_packed())


def decode_stopped(payload: bytes) -> Result[StoppedEndpoints, str]:
    """Decode a packed message.

    :param payload: the message.
    :returns: the endpoints, or why the message cannot be read.
    """
    try:
        message = SCHEMA.StoppedEndpoints.from_bytes_packed(payload)
        names = frozenset(str(name) for name in message.names)
        return Ok(StoppedEndpoints(revision=message.revision, names=names))
    except (capnp.KjException, ValueError) as error:
        return Err(str(error))
