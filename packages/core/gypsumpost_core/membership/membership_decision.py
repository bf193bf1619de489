"""Decisions of the membership state machine."""

from typing import TypeAlias

from gypsumpost_core.membership.forget_host import ForgetHost
from gypsumpost_core.membership.report_host import ReportHost
from gypsumpost_core.membership.report_list_revision import ReportListRevision
from gypsumpost_core.membership.send_datagram import SendDatagram

MembershipDecision: TypeAlias = SendDatagram | ReportHost | ForgetHost | ReportListRevision
