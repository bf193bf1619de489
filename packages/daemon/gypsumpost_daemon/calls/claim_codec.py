"""JSON encoding of stored claims."""

import base64
from typing import Any

import orjson

from gypsumpost_core.calls.claim_outcome import ClaimOutcome
from gypsumpost_core.calls.claim_record import ClaimRecord
from gypsumpost_core.run_state import RunState


def encode_record(record: ClaimRecord) -> bytes:
    """Encode a claim for the store; equal claims have the same encoding.

    :param record: the claim.
    """
    body: dict[str, Any] = {
        "owner": record.owner,
        "incarnation": record.incarnation,
        "nonce": record.nonce,
        "deadline": record.deadline,
        "request_digest": record.request_digest,
    }
    if record.outcome is not None:
        body["outcome"] = _encode_outcome(record.outcome)
    return orjson.dumps(body)


def decode_record(data: bytes) -> ClaimRecord:
    """Decode a stored claim.

    :param data: the stored value.
    """
    body = orjson.loads(data)
    outcome = body.pop("outcome", None)
    return ClaimRecord(**body, outcome=_decode_outcome(outcome) if outcome else None)


def _encode_outcome(outcome: ClaimOutcome) -> dict[str, Any]:
    return {
        "run_state": outcome.run_state.value,
        "status": outcome.status,
        "headers": dict(outcome.headers),
        "body": base64.b64encode(outcome.body).decode(),
    }


def _decode_outcome(body: dict[str, Any]) -> ClaimOutcome:
    return ClaimOutcome(
        run_state=RunState(body["run_state"]),
        status=body["status"],
        headers=body["headers"],
        body=base64.b64decode(body["body"]),
    )
