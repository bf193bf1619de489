"""Parses the points in time that operators enter."""

from datetime import UTC, datetime

from result import Err, Ok, Result


def parse_moment(text: str) -> Result[float, str]:
    """Return the Unix time in seconds of a moment.

    :param text: Unix seconds, or an ISO date and time, in UTC if it has no UTC offset.
    """
    try:
        return Ok(float(text))
    except ValueError:
        pass
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return Err(f"{text!r} is neither Unix seconds nor like 2026-05-01T08:30:00")
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return Ok(moment.timestamp())
