"""Content of a REPORT_DEMAND request."""

import attrs

from gypsumpost_core.limits.demand_report import DemandReport


@attrs.frozen(kw_only=True)
class DemandMessage:
    """One daemon's reports for workspaces with the same coordinator.

    :param number: increases with each message of the daemon, across restarts as well.
    :param sent_at: Unix time in seconds on the sender's clock.
    :param reports: the reports.
    """

    number: int
    sent_at: float
    reports: tuple[DemandReport, ...]
