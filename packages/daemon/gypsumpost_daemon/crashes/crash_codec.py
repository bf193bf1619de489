"""Encoding of the evidence about crash-causing requests in beacons."""

import math
from collections.abc import Iterable
from typing import Any

from gypsumpost_core.crashes.crash_key import CauseKind, CrashKey
from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.crashes.survival_report import SurvivalReport
from gypsumpost_core.gateway.endpoint_start import EndpointStart

MAX_AGE_MS = 0xFFFFFFFF
MILLISECONDS = 1000


def encode_crashes(reports: Iterable[CrashReport]) -> list[dict[str, Any]]:
    """Return crashes as fields of a message.

    :param reports: the crashes.
    """
    return [
        {
            "fingerprint": report.suspect.fingerprint,
            "endpoint": report.process.endpoint_id,
            "startedAt": report.process.started_at,
            "failureDomain": report.failure_domain,
            "parts": list(report.suspect.parts),
            "ageMs": encode_age(report.age_seconds),
        }
        for report in reports
    ]


def decode_crashes(messages: Any) -> tuple[CrashReport, ...]:
    """Return the crashes in a message.

    :param messages: a list of the schema's ``CrashReport``.
    """
    return tuple(
        CrashReport(
            suspect=CrashSuspect(
                fingerprint=bytes(message.fingerprint),
                parts=tuple(bytes(part) for part in message.parts),
            ),
            process=EndpointStart(endpoint_id=message.endpoint, started_at=message.startedAt),
            failure_domain=message.failureDomain,
            age_seconds=message.ageMs / MILLISECONDS,
        )
        for message in messages
    )


def encode_survivals(reports: Iterable[SurvivalReport]) -> list[dict[str, Any]]:
    """Return survivals as fields of a message.

    :param reports: the survivals.
    """
    return [
        {
            "digest": report.key.digest,
            "isPart": report.key.kind is CauseKind.PART,
            "count": report.count,
            "ageMs": encode_age(report.age_seconds),
        }
        for report in reports
    ]


def decode_survivals(messages: Any) -> tuple[SurvivalReport, ...]:
    """Return the survivals in a message.

    :param messages: a list of the schema's ``SurvivalReport``.
    :raises ValueError: if a count is not a finite number from 0.
    """
    return tuple(
        SurvivalReport(
            key=CrashKey(
                kind=CauseKind.PART if message.isPart else CauseKind.REQUEST,
                digest=bytes(message.digest),
            ),
            count=read_count(message.count),
            age_seconds=message.ageMs / MILLISECONDS,
        )
        for message in messages
    )


def encode_age(seconds: float) -> int:
    """Return an age in whole milliseconds.

    :param seconds: the age.
    """
    return min(MAX_AGE_MS, max(0, round(seconds * MILLISECONDS)))


def read_count(value: float) -> float:
    """Return a count of survivals.

    :param value: the number in a message.
    :raises ValueError: if it is not a finite number from 0.
    """
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{value} is no count")
    return value
