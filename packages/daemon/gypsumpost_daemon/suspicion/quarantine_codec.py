"""Encoding of suspicion reports in messages between daemons."""

import math
from pathlib import Path
from typing import Any

import capnp
from result import Err, Ok, Result

from gypsumpost_core.suspicion.engine_death import EngineDeath
from gypsumpost_core.suspicion.suspicion_report import SuspicionReport
from gypsumpost_daemon.crashes.crash_codec import (
    decode_crashes,
    decode_survivals,
    encode_crashes,
    encode_survivals,
)
from gypsumpost_daemon.suspicion.quarantine_message import QuarantineMessage

SCHEMA = capnp.load(str(Path(__file__).with_name("quarantine.capnp")))


def encode_quarantine(message: QuarantineMessage) -> bytes:
    """Encode reports as a packed ``Quarantine`` message.

    :param message: the reports.
    """
    encoded = [
        {
            "fingerprint": report.fingerprint,
            "deaths": [
                {"engine": d.engine, "bootId": d.boot_id, "diedAt": d.died_at}
                for d in report.deaths
            ],
            "expiresAt": report.expires_at,
            "heldEngine": report.held_engine,
            "heldUntil": report.held_until,
        }
        for report in message.suspicions
    ]
    packed: bytes = SCHEMA.Quarantine.new_message(
        reports=encoded,
        crashes=encode_crashes(message.crashes),
        survivals=encode_survivals(message.survivals),
    ).to_bytes_packed()
    return packed


def decode_quarantine(payload: bytes) -> Result[QuarantineMessage, str]:
    """Decode a ``Quarantine`` message.

    :param payload: the packed bytes.
    :returns: the reports, or why the message cannot be read.
    """
    try:
        message = SCHEMA.Quarantine.from_bytes_packed(payload)
        return Ok(
            QuarantineMessage(
                suspicions=tuple(_read_report(report) for report in message.reports),
                crashes=decode_crashes(message.crashes),
                survivals=decode_survivals(message.survivals),
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error))


def _read_report(report: Any) -> SuspicionReport:
    return SuspicionReport(
        fingerprint=report.fingerprint,
        deaths=tuple(
            EngineDeath(engine=d.engine, boot_id=d.bootId, died_at=_read_time(d.diedAt))
            for d in report.deaths
        ),
        expires_at=_read_time(report.expiresAt),
        held_engine=report.heldEngine,
        held_until=_read_time(report.heldUntil),
    )


def _read_time(seconds: float) -> float:
    # A deadline that is infinite or not a number would never pass.
    if not math.isfinite(seconds):
        raise ValueError("a time is not finite")
    return seconds
