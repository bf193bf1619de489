"""Where copies of a generation are held."""

from collections.abc import Sequence

import xxhash

from gypsumpost_core.host import Host
from gypsumpost_core.registry import Registry
from gypsumpost_core.rendezvous import rank_hosts

COPY_PLACEMENTS: Registry[list[Host]] = Registry(behaviour="copy placement")


HOLDER_GROUPS = 4
"""Groups of a home's generations, each with holders of its own.

With one group for each generation the copies of a home were spread over all hosts, so that a batch
carried one token; 16 holders raised the home's load at 1,000 tokens/s from 0.33 to 0.51 of a core.
"""


@COPY_PLACEMENTS.register("none")
def place_nowhere(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Hold no copy; the loss of the daemon loses the generation."""
    return []


@COPY_PLACEMENTS.register("same-domain")
def place_in_same_domain(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Hold one copy in the own failure domain, else anywhere."""
    ranked = _rank_holders(generation_id, own, peers)
    ranked.sort(key=lambda host: host.failure_domain != own.failure_domain)
    return ranked[:1]


@COPY_PLACEMENTS.register("other-domain")
def place_in_other_domain(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Hold one copy in another failure domain, else anywhere."""
    ranked = _rank_holders(generation_id, own, peers)
    ranked.sort(key=lambda host: host.failure_domain == own.failure_domain)
    return ranked[:1]


@COPY_PLACEMENTS.register("two-domains")
def place_in_two_domains(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Hold two copies in two failure domains other than the own, as far as there are any."""
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
