"""Tests of membership with random sequences of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpost_core.host import Host
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.membership_simulation import MembershipSimulation, create_hosts
from gypsumpost_core.membership.report_list_revision import ReportListRevision
from gypsumpost_core.membership.send_datagram import SendDatagram
from gypsumpost_core.tests.membership_helpers import check_all_live, gossip

HOSTS = create_hosts(2, 3)
UPDATES = st.builds(
    MemberUpdate,
    host=st.sampled_from(HOSTS),
    incarnation=st.integers(0, 3),
    state=st.sampled_from([MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD]),
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(HOSTS), st.lists(UPDATES, max_size=4))))
def test_incarnations_never_fall_and_death_needs_a_higher_one(
    script: list[tuple[Host, list[MemberUpdate]]],
) -> None:
    """Guards against an order of updates that revives a dead member or reverts a state."""
    simulation = MembershipSimulation(hosts=HOSTS, seed=0)
    membership = simulation.members[HOSTS[0].host_id].membership
    known: dict[str, tuple[int, int]] = {}
    for number, (sender, updates) in enumerate(script):
        decisions = membership.handle_datagram(gossip(sender, *updates), number * 0.05)
        for decision in decisions + membership.tick(number * 0.05):
            if isinstance(decision, SendDatagram):
                continue
            assert not isinstance(decision, ReportListRevision)
            rank = (decision.incarnation, decision.state.value)  # type: ignore[union-attr]
            host_id = decision.host.host_id  # type: ignore[union-attr]
            assert rank > known.get(host_id, (-1, 0))
            known[host_id] = rank
    for _, updates in script:
        for update in updates:
            if update.host.host_id == HOSTS[0].host_id and update.state is not MemberState.ALIVE:
                assert membership.incarnation > update.incarnation


@settings(max_examples=15, derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(["pause", "stop", "start"]), st.integers(0, 5)), max_size=8),
    st.integers(0, 1000),
)
def test_any_sequence_of_faults_ends_in_agreement(faults: list[tuple[str, int]], seed: int) -> None:
    """Guards against sequences of pauses, stops and restarts that leave differing views."""
    simulation = MembershipSimulation(hosts=HOSTS, seed=seed)
    for fault, number in faults:
        member = simulation.members[HOSTS[number].host_id]
        if fault == "pause":
            member.paused = True
        elif fault == "stop":
            member.running = False
        else:
            simulation.start(member.host)
        simulation.run(1.3)
    for host_id, member in simulation.members.items():
        if member.paused:
            simulation.resume(host_id)
    simulation.run(15.0)
    check_all_live(simulation)
