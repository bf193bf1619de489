"""One member of a simulated deployment."""

import attrs

from gypsumpost_core.host import Host
from gypsumpost_core.hybrid_clock import HybridClock
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.membership import Membership
from gypsumpost_core.membership.report_host import ReportHost


@attrs.define(kw_only=True)
class SimulatedMember:
    """A membership state machine with the state that its daemon would keep.

    :param host: the host.
    :param membership: its state machine; a restart replaces it.
    :param clock: its hybrid clock.
    :param view: last report about each host.
    :param running: false after a stop.
    :param paused: true while the process is not scheduled.
    :param buffer: datagrams in the socket buffer of a paused process.
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
        """Return the ids of the hosts that this member considers live, without its own."""
        return {host_id for host_id, report in self.view.items() if report.live}
