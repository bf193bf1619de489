"""Encodes what gateways tell each other."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import capnp
from result import Err, Ok, Result

from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.crash_report import CrashReport
from gypsumpost_core.gateway.engine_use import EngineUse
from gypsumpost_core.gateway.loss_report import LossReport
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.item_set import ItemSet

SCHEMA: Any = capnp.load(str(Path(__file__).with_name("beacon.capnp")))


def encode_beacon(beacon: Beacon) -> bytes:
    """Return a beacon as packed bytes.

    :param beacon: the beacon.
    """
    packed: bytes = SCHEMA.Beacon.new_message(
        hostId=beacon.host_id,
        failureDomain=beacon.failure_domain,
        sequence=beacon.sequence,
        version=beacon.version,
        endpointRevision=beacon.endpoint_revision,
        uses=[
            {
                "engine": engine,
                "running": use.running,
                "readingTokens": use.reading_tokens,
                "memoryTokens": use.memory_tokens,
                "copyTokens": use.copy_tokens,
            }
            for engine, use in beacon.uses.items()
        ],
        losses=[
            {"endpoint": loss.endpoint_id, "startedAt": loss.started_at} for loss in beacon.losses
        ],
        crashes=[
            {
                "fingerprint": crash.fingerprint,
                "endpoint": crash.endpoint_id,
                "startedAt": crash.started_at,
            }
            for crash in beacon.crashes
        ],
        copies=[
            {
                "fingerprint": copy.fingerprint,
                "requestId": copy.request_id,
                "copyEngine": copy.copy_engine,
            }
            for copy in beacon.copies
        ],
    ).to_bytes_packed()
    return packed


def decode_beacon(data: bytes) -> Result[Beacon, str]:
    """Return the beacon in a datagram, or why it is none.

    :param data: the packed bytes.
    """
    try:
        message = SCHEMA.Beacon.from_bytes_packed(data)
        return Ok(
            Beacon(
                host_id=message.hostId,
                failure_domain=message.failureDomain,
                sequence=message.sequence,
                version=message.version,
                endpoint_revision=message.endpointRevision,
                uses={
                    use.engine: EngineUse(
                        running=use.running,
                        reading_tokens=use.readingTokens,
                        memory_tokens=use.memoryTokens,
                        copy_tokens=use.copyTokens,
                    )
                    for use in message.uses
                },
                losses=tuple(
                    LossReport(endpoint_id=loss.endpoint, started_at=loss.startedAt)
                    for loss in message.losses
                ),
                crashes=tuple(
                    CrashReport(
                        fingerprint=bytes(crash.fingerprint),
                        endpoint_id=crash.endpoint,
                        started_at=crash.startedAt,
                    )
                    for crash in message.crashes
                ),
                copies=tuple(
                    CopyReport(
                        fingerprint=bytes(copy.fingerprint),
                        request_id=copy.requestId,
                        copy_engine=copy.copyEngine,
                    )
                    for copy in message.copies
                ),
            )
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        return Err(str(error).partition("\n")[0])


def encode_state(sets: Iterable[ItemSet]) -> bytes:
    """Return the items of a directory as packed bytes.

    :param sets: the items by prefix.
    """
    packed: bytes = SCHEMA.DirectoryState.new_message(
        sets=[
            {
                "prefix": entry.prefix,
                "revision": entry.revision,
                "items": [
                    {"key": item.key, "revision": item.revision, "value": item.value or b""}
                    for item in entry.items
                ],
            }
            for entry in sets
        ]
    ).to_bytes_packed()
    return packed


def decode_state(data: bytes) -> Result[list[ItemSet], str]:
    """Return the items of a peer's directory, or why they cannot be read.

    :param data: the packed bytes.
    """
    try:
        message = SCHEMA.DirectoryState.from_bytes_packed(data, traversal_limit_in_words=2**24)
        return Ok(
            [
                ItemSet(
                    prefix=entry.prefix,
                    revision=entry.revision,
                    items=tuple(
                        StoredItem(key=item.key, revision=item.revision, value=bytes(item.value))
                        for item in entry.items
                    ),
                )
                for entry in message.sets
            ]
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        return Err(str(error).partition("\n")[0])
