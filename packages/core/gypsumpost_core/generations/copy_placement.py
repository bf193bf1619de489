"""Selection of the hosts that hold copies of a generation."""

from collections.abc import Sequence

import xxhash

from gypsumpost_core.host import Host
from gypsumpost_core.registry import Registry
from gypsumpost_core.rendezvous import rank_hosts

COPY_PLACEMENTS: Registry[list[Host]] = Registry(behaviour="copy placement")


HOLDER_GROUPS = 4
"""Number of groups into which a home's generations are hashed; each group has its own holders.

If each generation chose its holders independently, a home's copies would be spread over all hosts
and a batch would carry only one token. With 16 holders, the home used 0.51 of a core at
1,000 tokens/s instead of 0.33.
"""


@COPY_PLACEMENTS.register("none")
def place_nowhere(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Place no copy; the generation is lost if its daemon fails."""
    return []


@COPY_PLACEMENTS.register("same-domain")
def place_in_same_domain(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Place one copy in the own failure domain, or in any domain if it has no other host."""
    ranked = _rank_holders(generation_id, own, peers)
    ranked.sort(key=lambda host: host.failure_domain != own.failure_domain)
    return ranked[:1]


@COPY_PLACEMENTS.register("other-domain")
def place_in_other_domain(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Place one copy in another failure domain, or in the own one if there is no other."""
    ranked = _rank_holders(generation_id, own, peers)
    ranked.sort(key=lambda host: host.failure_domain == own.failure_domain)
    return ranked[:1]


@COPY_PLACEMENTS.register("two-domains")
def place_in_two_domains(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Place copies in up to two failure domains other than the own.

    Without another domain, one copy is placed in the own domain.
    """
    chosen: list[Host] = []
    used = {own.failure_domain}
    for host in _rank_holders(generation_id, own, peers):
        if host.failure_domain not in used:
            chosen.append(host)
            used.add(host.failure_domain)
    return chosen[:2] or place_in_other_domain(generation_id=generation_id, own=own, peers=peers)


def _rank_holders(generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    group = xxhash.xxh64_intdigest(generation_id.encode()) % HOLDER_GROUPS
    return rank_hosts(f"{own.host_id}/{group}", peers)
