"""Cap'n Proto codec of reports of streams, and of what a host remembers of them."""

from typing import Any

import capnp
from result import Err, Ok, Result

from gypsumpost_core.gateway.begun_streams import DIGEST_BYTES
from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.known_stream import KnownStream
from gypsumpost_core.gateway.stream_memory import StreamMemory
from gypsumpost_daemon.gateway.peer_schema import SCHEMA

MILLISECONDS = 1000


def encode_copy(report: CopyReport) -> dict[str, Any]:
    """Return a report as fields of the schema's ``CopyReport``.

    :param report: the report.
    """
    return {
        "fingerprint": report.fingerprint,
        "requestId": report.request_id,
        "copyEngine": report.copy_engine,
        "continues": report.continues,
        "broken": report.broken,
        "lastEventId": report.last_event_id,
    }


def decode_copy(message: Any) -> CopyReport:
    """Return the report in a message.

    :param message: the schema's ``CopyReport``.
    """
    return CopyReport(
        fingerprint=bytes(message.fingerprint),
        request_id=message.requestId,
        copy_engine=message.copyEngine,
        continues=message.continues,
        broken=message.broken,
        last_event_id=bytes(message.lastEventId),
    )


def split_digests(data: bytes) -> tuple[bytes, ...]:
    """Return the digests in a sequence of bytes.

    :param data: the digests, one after the other.
    :raises ValueError: if the last one is incomplete.
    """
    if len(data) % DIGEST_BYTES:
        raise ValueError(f"{len(data)} bytes of digests")
    return tuple(data[start : start + DIGEST_BYTES] for start in range(0, len(data), DIGEST_BYTES))


def encode_memory(memory: StreamMemory, now: float) -> bytes:
    """Return the reply to a ``STREAM_MEMORY`` request as packed bytes.

    :param memory: what this host remembers.
    :param now: monotonic time in seconds.
    """
    packed: bytes = SCHEMA.StreamMemory.new_message(
        completeMs=count_milliseconds(now - memory.complete_since),
        streams=[
            {
                "hostId": stream.host_id,
                "incarnation": stream.incarnation,
                "report": encode_copy(stream.report),
                "ageMs": count_milliseconds(now - stream.reported_at),
            }
            for stream in memory.streams
        ],
        begunElsewhere=[
            {"domain": domain, "digests": b"".join(digests)}
            for domain, digests in memory.begun_elsewhere.items()
        ],
    ).to_bytes_packed()
    return packed


def decode_memory(payload: bytes, now: float) -> Result[StreamMemory, str]:
    """Return the memory of a peer, or why its reply cannot be decoded.

    :param payload: the packed bytes.
    :param now: monotonic time in seconds.
    """
    try:
        message = SCHEMA.StreamMemory.from_bytes_packed(payload)
        return Ok(
            StreamMemory(
                complete_since=now - message.completeMs / MILLISECONDS,
                streams=tuple(
                    KnownStream(
                        host_id=stream.hostId,
                        incarnation=stream.incarnation,
                        report=decode_copy(stream.report),
                        reported_at=now - stream.ageMs / MILLISECONDS,
                    )
                    for stream in message.streams
                ),
                begun_elsewhere={
                    begun.domain: split_digests(bytes(begun.digests))
                    for begun in message.begunElsewhere
                },
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error).partition("\n")[0])


def count_milliseconds(seconds: float) -> int:
    """Return a duration that is not negative in whole milliseconds.

    :param seconds: the duration, at most that for which streams are remembered.
    """
    return round(max(0.0, seconds) * MILLISECONDS)
