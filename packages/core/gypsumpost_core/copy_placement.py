"""Where copies of a generation are held."""

from collections.abc import Sequence

from gypsumpost_core.host import Host
from gypsumpost_core.registry import Registry
from gypsumpost_core.rendezvous import rank_hosts

COPY_PLACEMENTS: Registry[list[Host]] = Registry(behaviour="copy placement")


@COPY_PLACEMENTS.register("none")
def place_nowhere(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Hold no copy; the loss of the daemon loses the generation."""
    return []


@COPY_PLACEMENTS.register("same-domain")
def place_in_same_domain(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Hold one copy in the own failure domain, else anywhere."""
    ranked = rank_hosts(generation_id, peers)
    ranked.sort(key=lambda host: host.failure_domain != own.failure_domain)
    return ranked[:1]


@COPY_PLACEMENTS.register("other-domain")
def place_in_other_domain(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Hold one copy in another failure domain, else anywhere."""
    ranked = rank_hosts(generation_id, peers)
    ranked.sort(key=lambda host: host.failure_domain == own.failure_domain)
    return ranked[:1]


@COPY_PLACEMENTS.register("two-domains")
def place_in_two_domains(*, generation_id: str, own: Host, peers: Sequence[Host]) -> list[Host]:
    """Hold two copies in two failure domains other than the own, as far as there are any."""
    chosen: list[Host] = []
    used = {own.failure_domain}
    for host in rank_hosts(generation_id, peers):
        if host.failure_domain not in used:
            chosen.append(host)
            used.add(host.failure_domain)
    return chosen[:2] or place_in_other_domain(generation_id=generation_id, own=own, peers=peers)
