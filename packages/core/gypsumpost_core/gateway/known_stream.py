"""A stream whose caller may come back."""

import attrs

from gypsumpost_core.decimal_digits import is_above
from gypsumpost_core.gateway.copy_report import CopyReport


@attrs.frozen(kw_only=True)
class KnownStream:
    """A stream of a host, as that host has last reported it.

    :param host_id: the host.
    :param incarnation: the process of the host, in Unix milliseconds of its start.
    :param report: its report.
    :param reported_at: monotonic time in seconds of the last report that the stream runs.
    """

    host_id: str
    incarnation: int
    report: CopyReport
    reported_at: float


def may_have_received(last_event_id: bytes, passed_on: bytes) -> bool:
    """Return false if a caller names an event that a stream has not passed on.

    Only ids that are numbers can be compared.

    :param last_event_id: id of the last event that the caller has received.
    :param passed_on: id of the last event that the stream has passed on, empty if not known.
    """
    if not last_event_id.isdigit() or not passed_on.isdigit():
        return True
    return not is_above(last_event_id, passed_on)
