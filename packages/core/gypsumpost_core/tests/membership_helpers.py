"""Helpers of the membership tests."""

from gypsumpost_core.host import Host
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.membership_simulation import MembershipSimulation, create_hosts

JOIN_SECONDS = 6.0


def create_joined(
    domains: int = 3, hosts_per_domain: int = 3, seed: int = 1, seconds: float = JOIN_SECONDS
) -> MembershipSimulation:
    simulation = MembershipSimulation(hosts=create_hosts(domains, hosts_per_domain), seed=seed)
    simulation.run(seconds)
    check_all_live(simulation)
    return simulation


def check_all_live(simulation: MembershipSimulation) -> None:
    names = {name for name, member in simulation.members.items() if member.running}
    for name in names:
        assert simulation.members[name].list_live() == names - {name}, name


def list_live_observers(simulation: MembershipSimulation, host_id: str) -> list[str]:
    """Return the running members that consider a host live."""
    members = simulation.members.values()
    return [m.host.host_id for m in members if m.running and host_id in m.list_live()]


def gossip(sender: Host, *updates: MemberUpdate, incarnation: int = 1) -> Datagram:
    return Datagram(
        kind=DatagramKind.GOSSIP,
        sender=MemberUpdate(host=sender, incarnation=incarnation, state=MemberState.ALIVE),
        updates=updates,
    )
