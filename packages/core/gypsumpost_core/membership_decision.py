"""Decisions of the membership state machine."""

from typing import TypeAlias

from gypsumpost_core.forget_host import ForgetHost
from gypsumpost_core.report_host import ReportHost
from gypsumpost_core.report_list_revision import ReportListRevision
from gypsumpost_core.send_datagram import SendDatagram

MembershipDecision: TypeAlias = SendDatagram | ReportHost | ForgetHost | ReportListRevision
