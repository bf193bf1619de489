"""A statement about a member, as datagrams carry it."""

import attrs

from gypsumpost_core.host import Host
from gypsumpost_core.member_state import MemberState

UPDATE_OVERHEAD_BYTES = 64
"""Upper bound of an encoded update without its texts: incarnation, state and five pointers."""


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """The state of a host at one incarnation.

    :param host: the host and its addresses.
    :param incarnation: number that only the host itself raises; a new process starts with its
        boot time in Unix milliseconds.
    :param state: alive, suspect or dead.
    """

    host: Host
    incarnation: int
    state: MemberState

    def supersedes(self, state: MemberState, incarnation: int) -> bool:
        """Return whether this statement replaces what is known.

        At one incarnation the order is alive, suspect, dead: only the host itself can refute a
        suspicion, by a higher incarnation.

        :param state: known state.
        :param incarnation: known incarnation.
        """
        return (self.incarnation, self.state.value) > (incarnation, state.value)

    def estimate_bytes(self) -> int:
        """Return an upper bound of the encoded size in bytes."""
        host = self.host
        texts = len(host.host_id) + len(host.failure_domain) + len(host.peer_address)
        texts += len(host.gossip_address) + len(host.api_address)
        # The packed encoding adds one byte to each eight.
        return texts * 9 // 8 + UPDATE_OVERHEAD_BYTES
