"""A message of REPORT_DEMAND."""

import attrs

from gypsumpost_core.limits.demand_report import DemandReport


@attrs.frozen(kw_only=True)
class DemandMessage:
    """The reports of one daemon for all workspaces with the same coordinator.

    :param number: rises with each message of the daemon, also after a restart.
    :param sent_at: Unix time in seconds on the sender's clock.
    :param reports: the reports.
    """

    number: int
    sent_at: float
    reports: tuple[DemandReport, ...]
