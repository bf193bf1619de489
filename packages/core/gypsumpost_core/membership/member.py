"""Entry of the member table."""

import math

import attrs
import xxhash

from gypsumpost_core.host import Host
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate


@attrs.define(kw_only=True)
class Member:
    """A host with its state and the deadlines of that state.

    :param host: the host and its addresses.
    :param incarnation: highest known incarnation.
    :param state: alive, suspect or dead.
    :param suspect_deadline: monotonic time in seconds at which a suspicion expires. The suspect is
        then declared dead or, if this process has not probed it, probed first.
    :param forget_deadline: monotonic time in seconds at which a dead host is removed from the
        table.
    :param reported: last state that was reported to other components.
    """

    host: Host
    incarnation: int
    state: MemberState
    suspect_deadline: float = math.inf
    forget_deadline: float = math.inf
    reported: MemberState | None = None

    def create_update(self) -> MemberUpdate:
        """Return the update that describes the current entry."""
        return MemberUpdate(host=self.host, incarnation=self.incarnation, state=self.state)

    def compute_digest(self) -> int:
        """Return the member's contribution to the digest of a table, 0 for a dead host."""
        if self.state is MemberState.DEAD:
            return 0
        return xxhash.xxh3_64_intdigest(f"{self.host.host_id}\0{self.incarnation}".encode())


def list_refutable_updates(member: Member) -> tuple[MemberUpdate, ...]:
    """Return the update that a host must receive in order to refute it, empty if it is alive.

    :param member: the host.
    """
    return () if member.state is MemberState.ALIVE else (member.create_update(),)
