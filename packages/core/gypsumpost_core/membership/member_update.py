"""Update about a member, as sent in datagrams."""

import attrs

from gypsumpost_core.host import Host
from gypsumpost_core.membership.member_state import MemberState

UPDATE_OVERHEAD_BYTES = 64
"""Upper bound of the encoded size of an update without its texts: numbers, pointers, padding."""


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """The state of a host at one incarnation.

    :param host: the host and its addresses.
    :param incarnation: number that only the host itself increases; a new process starts with
        its boot time in Unix milliseconds.
    :param state: alive, suspect or dead.
    """

    host: Host
    incarnation: int
    state: MemberState

    def supersedes(self, state: MemberState, incarnation: int) -> bool:
        """Return whether this update overrides the known state.

        Within an incarnation the precedence is alive, suspect, dead: only the host itself can
        refute a suspicion, by a higher incarnation.

        :param state: known state.
        :param incarnation: known incarnation.
        """
        return (self.incarnation, self.state.value) > (incarnation, state.value)

    def estimate_bytes(self) -> int:
        """Return an upper bound of the encoded size in bytes."""
        texts = len(self.host.host_id) + len(self.host.failure_domain)
        if not self._has_one_ip():
            texts += len(self.host.peer_address) + len(self.host.gossip_address)
            texts += len(self.host.api_address)
        # The packed encoding adds one byte to each eight.
        return texts * 9 // 8 + UPDATE_OVERHEAD_BYTES

    def _has_one_ip(self) -> bool:
        host = self.host
        addresses = (host.peer_address, host.gossip_address, host.api_address or host.peer_address)
        ips = {address.rpartition(":")[0] for address in addresses}
        # Only a single IPv4 address is encoded as numbers; port 0 means no address.
        return len(ips) == 1 and "[" not in host.peer_address and addresses[2][-2:] != ":0"
