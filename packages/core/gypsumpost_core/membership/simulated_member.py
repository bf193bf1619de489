"""One member of a simulated deployment."""

import attrs

from gypsumpost_core.host import Host
from gypsumpost_core.hybrid_clock import HybridClock
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.membership import Membership
from gypsumpost_core.membership.report_host import ReportHost


@attrs.define(kw_only=True)
class SimulatedMember:
    """A state machine with what its daemon would keep for it.

    :param host: the host.
    :param membership: its state machine; a restart replaces it.
    :param clock: its hybrid clock.
    :param view: last report about each host.
    :param running: false after a stop.
    :param paused: true while the process gets no processor time.
    :param buffer: datagrams that wait in the socket of a paused process.
    :param sent_bytes: bytes sent, if the simulation measures datagrams.
    """

    host: Host
    membership: Membership
    clock: HybridClock = attrs.field(factory=HybridClock)
    view: dict[str, ReportHost] = attrs.field(factory=dict)
    running: bool = True
    paused: bool = False
    buffer: list[Datagram] = attrs.field(factory=list)
    sent_bytes: int = 0

    def list_live(self) -> set[str]:
        """Return the ids of the hosts that this member holds for live, without its own."""
        return {host_id for host_id, report in self.view.items() if report.live}
