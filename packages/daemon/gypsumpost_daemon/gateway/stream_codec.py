"""Cap'n Proto codec of the questions between hosts about single streams."""

import capnp
from result import Err, Ok, Result

from gypsumpost_daemon.gateway.peer_schema import SCHEMA
from gypsumpost_daemon.gateway.stream_query import StreamQuery


def encode_stream_query(query: StreamQuery) -> bytes:
    """Return a ``STREAM_STATE`` request as packed bytes.

    :param query: the question.
    """
    packed: bytes = SCHEMA.StreamQuery.new_message(
        fingerprint=query.fingerprint, requestId=query.request_id
    ).to_bytes_packed()
    return packed


def decode_stream_query(payload: bytes) -> Result[StreamQuery, str]:
    """Return the question in a ``STREAM_STATE`` request, or why it cannot be decoded.

    :param payload: the packed bytes.
    """
    try:
        message = SCHEMA.StreamQuery.from_bytes_packed(payload)
        return Ok(StreamQuery(fingerprint=bytes(message.fingerprint), request_id=message.requestId))
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])


def encode_stream_state(served: bool) -> bytes:
    """Return the reply to a ``STREAM_STATE`` request as packed bytes.

    :param served: true if this host serves the stream.
    """
    packed: bytes = SCHEMA.StreamState.new_message(served=served).to_bytes_packed()
    return packed


def decode_stream_state(payload: bytes) -> Result[bool, str]:
    """Return whether the peer serves the stream, or why its reply cannot be decoded.

    :param payload: the packed bytes.
    """
    try:
        return Ok(bool(SCHEMA.StreamState.from_bytes_packed(payload).served))
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])
