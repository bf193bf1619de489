"""Decision to report a host to other components."""

import attrs

from gypsumpost_core.host import Host
from gypsumpost_core.membership.member_state import MemberState


@attrs.frozen(kw_only=True)
class ReportHost:
    """Report the state of a host to other components.

    :param host: the host and its addresses.
    :param incarnation: its highest known incarnation.
    :param state: state of the host as seen by this process.
    """

    host: Host
    incarnation: int
    state: MemberState

    @property
    def live(self) -> bool:
        """Return whether other components may use the host; a suspect is considered live."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)
