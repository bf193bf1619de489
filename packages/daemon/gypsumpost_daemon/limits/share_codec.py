"""Encoding of demand reports and share grants."""

import math
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import capnp
from result import Err, Ok, Result

from gypsumpost_core.limits.demand_report import DemandReport
from gypsumpost_core.limits.share_amounts import REQUEST_UNIT, ShareAmounts
from gypsumpost_core.limits.share_grant import ShareGrant
from gypsumpost_daemon.limits.demand_message import DemandMessage

SCHEMA = capnp.load(str(Path(__file__).with_name("shares.capnp")))
MILLISECONDS = 1000
MAX_UNITS = 2**32 - 1


def encode_reports(message: DemandMessage) -> bytes:
    """Encode a ``REPORT_DEMAND`` request.

    :param message: the message.
    """
    reports = [
        {
            "workspace": report.workspace,
            "heldNumber": report.held_number,
            "held": _describe_amounts(report.held),
            "demand": _describe_amounts(report.demand),
        }
        for report in message.reports
    ]
    # Rounding down can only make the share expire earlier, never later.
    sent_at = math.floor(message.sent_at * MILLISECONDS)
    encoded = SCHEMA.Reports.new_message(number=message.number, sentAt=sent_at, reports=reports)
    return encoded.to_bytes_packed()


def decode_reports(payload: bytes) -> Result[DemandMessage, str]:
    """Decode a ``REPORT_DEMAND`` request.

    :param payload: the packed bytes.
    :returns: the message, or a description of the decoding error.
    """
    try:
        message = SCHEMA.Reports.from_bytes_packed(payload)
        reports = tuple(
            DemandReport(
                workspace=report.workspace,
                held_number=report.heldNumber,
                held=_read_amounts(report.held),
                demand=_read_amounts(report.demand),
            )
            for report in message.reports
        )
        sent_at = message.sentAt / MILLISECONDS
        return Ok(DemandMessage(number=message.number, sent_at=sent_at, reports=reports))
    except (capnp.KjException, ValueError) as error:
        return Err(str(error))


def encode_grants(grants: Iterable[ShareGrant]) -> bytes:
    """Encode the reply to a ``REPORT_DEMAND`` request.

    :param grants: the grants.
    """
    described = [
        {
            "workspace": grant.workspace,
            "amounts": _describe_amounts(grant.amounts),
            "deadline": round(grant.deadline * MILLISECONDS),
        }
        for grant in grants
    ]
    return SCHEMA.Grants.new_message(grants=described).to_bytes_packed()


def decode_grants(payload: bytes) -> Result[tuple[ShareGrant, ...], str]:
    """Decode the reply to a ``REPORT_DEMAND`` request.

    :param payload: the packed bytes.
    :returns: the grants, or a description of the decoding error.
    """
    try:
        message = SCHEMA.Grants.from_bytes_packed(payload)
        return Ok(
            tuple(
                ShareGrant(
                    workspace=grant.workspace,
                    amounts=_read_amounts(grant.amounts),
                    deadline=grant.deadline / MILLISECONDS,
                )
                for grant in message.grants
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(str(error))


def _describe_amounts(amounts: ShareAmounts) -> dict[str, int]:
    return {
        "requestMilli": min(MAX_UNITS, round(amounts.requests / REQUEST_UNIT)),
        "tokens": min(MAX_UNITS, round(amounts.tokens)),
        "generations": min(MAX_UNITS, round(amounts.generations)),
    }


def _read_amounts(message: Any) -> ShareAmounts:
    return ShareAmounts(
        requests=message.requestMilli * REQUEST_UNIT,
        tokens=message.tokens,
        generations=message.generations,
    )
