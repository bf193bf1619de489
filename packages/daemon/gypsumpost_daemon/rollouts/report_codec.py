"""Cap'n Proto codec of what hosts tell each other of roll-outs."""

import math
import struct
from collections.abc import Iterable
from typing import Any

import attrs

from gypsumpost_core.rollouts.evidence_key import EvidenceKey
from gypsumpost_core.rollouts.evidence_row import EvidenceRow
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.version_count import VersionCount
from gypsumpost_daemon.rollouts.lease_confirmation import LeaseConfirmation
from gypsumpost_daemon.rollouts.rollout_report import NEVER_MS, RolloutReport

COUNT_NAMES = tuple(field.name for field in attrs.fields(VersionCount))
MAX_ROWS = 400
"""Rows in a beacon, which holds more than rows; the newest go first."""

ROW = struct.Struct(f"<3HBQ{len(COUNT_NAMES)}I")


def encode_report(report: RolloutReport) -> dict[str, Any]:
    """Return a report as fields of the schema's ``Report``.

    :param report: the report.
    """
    return {
        "records": [_encode_record(record) for record in report.records],
        "confirmedAge": _bound(report.confirmed_age_ms),
        "confirmedToken": report.confirmation.token,
        "confirmedNumber": _bound(report.confirmation.number),
        "evidence": {"epoch": report.epoch} | _encode_rows(report.evidence),
    }


def decode_report(message: Any) -> RolloutReport:
    """Return the report in a message.

    :param message: the schema's ``Report``.
    :raises ValueError: if a value is outside its range.
    """
    return RolloutReport(
        records=tuple(_decode_record(record) for record in message.records),
        confirmation=LeaseConfirmation(
            token=message.confirmedToken, number=message.confirmedNumber
        ),
        confirmed_age_ms=message.confirmedAge,
        epoch=message.evidence.epoch,
        evidence=_decode_rows(message.evidence),
    )


def _encode_record(record: RolloutRecord) -> dict[str, Any]:
    return {
        "service": record.service,
        "targetVersion": record.target_version,
        "orderRevision": record.order_revision,
        "phase": record.phase.value,
        "share": record.share,
        "spare": _bound(record.spare),
        "hosts": _bound(record.hosts),
        "orderSeconds": record.order_seconds,
        "barred": list(record.barred),
        "startedAt": record.started_at_ms,
        "shareSince": record.share_since_ms,
        "deadline": record.deadline_ms,
        "fencingToken": record.fencing_token,
        "reason": record.reason,
    }


def _decode_record(message: Any) -> RolloutRecord:
    for number in (message.share, message.orderSeconds):
        if not math.isfinite(number):
            raise ValueError(f"{number} in a record is no finite number")
    return RolloutRecord(
        service=message.service,
        target_version=message.targetVersion,
        order_revision=message.orderRevision,
        phase=RolloutPhase(message.phase),
        share=message.share,
        spare=message.spare,
        hosts=message.hosts,
        order_seconds=message.orderSeconds,
        barred=tuple(message.barred),
        started_at_ms=message.startedAt,
        share_since_ms=message.shareSince,
        deadline_ms=message.deadline,
        fencing_token=message.fencingToken,
        reason=message.reason,
    )


def _encode_rows(rows: Iterable[EvidenceRow]) -> dict[str, Any]:
    indexes: dict[str, int] = {}
    numbers = []
    newest = sorted(rows, key=lambda row: row.key.window, reverse=True)
    for row in newest[:MAX_ROWS]:
        key = row.key
        names = [
            indexes.setdefault(name, len(indexes)) for name in (key.service, key.version, key.route)
        ]
        counts = [_bound(getattr(row.count, name)) for name in COUNT_NAMES]
        numbers.append(ROW.pack(*names, key.group, key.window, *counts))
    return {"names": list(indexes), "numbers": b"".join(numbers)}


def _decode_rows(message: Any) -> tuple[EvidenceRow, ...]:
    names = list(message.names)
    data = bytes(message.numbers)
    if len(data) % ROW.size:
        raise ValueError(f"{len(data)} bytes of evidence are no whole rows")
    rows = []
    for service, version, route, group, window, *counts in ROW.iter_unpack(data):
        if max(service, version, route) >= len(names):
            raise ValueError("a row of evidence names nothing")
        key = EvidenceKey(
            service=names[service],
            version=names[version],
            route=names[route],
            window=window,
            group=group,
        )
        count = VersionCount(**dict(zip(COUNT_NAMES, counts, strict=True)))
        rows.append(EvidenceRow(key=key, count=count))
    return tuple(rows)


def _bound(value: int) -> int:
    return min(NEVER_MS, max(0, value))
