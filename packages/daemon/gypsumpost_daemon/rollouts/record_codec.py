"""JSON codec of the durable records of roll-outs."""

from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord


def encode_record(record: RolloutRecord) -> bytes:
    """Return a record as a JSON document.

    :param record: the record.
    """
    return orjson.dumps(attrs.asdict(record) | {"phase": record.phase.value})


def decode_record(value: bytes) -> Result[RolloutRecord, str]:
    """Return the record in a document, or the reason why it is invalid.

    :param value: the stored bytes.
    """
    try:
        document: dict[str, Any] = orjson.loads(value)
        return Ok(
            RolloutRecord(
                service=str(document["service"]),
                target_version=str(document["target_version"]),
                order_revision=int(document["order_revision"]),
                phase=RolloutPhase(document["phase"]),
                share=float(document["share"]),
                started_at_ms=int(document["started_at_ms"]),
                share_since_ms=int(document["share_since_ms"]),
                deadline_ms=int(document["deadline_ms"]),
                fencing_token=int(document["fencing_token"]),
                reason=str(document["reason"]),
                spare=int(document["spare"]),
                hosts=int(document["hosts"]),
                order_seconds=float(document.get("order_seconds", 0.0)),
                barred=tuple(str(version) for version in document["barred"]),
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return Err(f"{type(error).__name__}: {error}")
