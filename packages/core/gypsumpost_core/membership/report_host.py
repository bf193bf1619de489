"""Decision to report a host to the other parts."""

import attrs

from gypsumpost_core.host import Host
from gypsumpost_core.membership.member_state import MemberState


@attrs.frozen(kw_only=True)
class ReportHost:
    """Tell the other parts about a host.

    :param host: the host and its addresses.
    :param incarnation: its highest known incarnation.
    :param state: what this process holds it for.
    """

    host: Host
    incarnation: int
    state: MemberState

    @property
    def live(self) -> bool:
        """Return whether other parts may use the host; a suspect counts as live."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)
