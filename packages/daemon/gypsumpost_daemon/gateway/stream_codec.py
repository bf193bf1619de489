"""Cap'n Proto codec of the questions between hosts about single streams."""

import capnp
from result import Err, Ok, Result

from gypsumpost_core.gateway.stream_state import StreamState
from gypsumpost_daemon.gateway.peer_schema import SCHEMA
from gypsumpost_daemon.gateway.stream_query import StreamQuery


def encode_stream_query(query: StreamQuery) -> bytes:
    """Return a ``STREAM_STATE`` request as packed bytes.

    :param query: the question.
    """
    packed: bytes = SCHEMA.StreamQuery.new_message(
        fingerprint=query.fingerprint,
        requestId=query.request_id,
        incarnation=query.incarnation,
    ).to_bytes_packed()
    return packed


def decode_stream_query(payload: bytes) -> Result[StreamQuery, str]:
    """Return the question in a ``STREAM_STATE`` request, or why it cannot be decoded.

    :param payload: the packed bytes.
    """
    try:
        message = SCHEMA.StreamQuery.from_bytes_packed(payload)
        return Ok(
            StreamQuery(
                fingerprint=bytes(message.fingerprint),
                request_id=message.requestId,
                incarnation=message.incarnation,
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])


def encode_stream_state(state: StreamState) -> bytes:
    """Return the reply to a ``STREAM_STATE`` request as packed bytes.

    :param state: the state of the stream.
    """
    packed: bytes = SCHEMA.StreamState.new_message(
        served=state.served,
        over=state.over,
        lastEventId=state.last_event_id,
        sole=state.sole,
    ).to_bytes_packed()
    return packed


def decode_stream_state(payload: bytes) -> Result[StreamState, str]:
    """Return the state of the stream at the peer, or why its reply cannot be decoded.

    :param payload: the packed bytes.
    """
    try:
        message = SCHEMA.StreamState.from_bytes_packed(payload)
        return Ok(
            StreamState(
                served=message.served,
                over=message.over,
                last_event_id=bytes(message.lastEventId),
                sole=message.sole,
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])
