"""Tests of the decision who probes an endpoint that peers report."""

from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.peer_evidence import VERIFIERS, PeerEvidence
from gypsumpost_core.gateway.report_verdict import ReportVerdict
from gypsumpost_core.gateway.tests.endpoint_fixtures import create_fleet, create_record, get_state
from gypsumpost_core.host import Host

HOSTS = 33
ENGINES = 30


def create_host(number, domain="a"):
    address = f"127.0.0.{number}:1"
    return Host(
        host_id=f"h{number}",
        failure_domain=domain,
        peer_address=address,
        gossip_address=address,
        api_address=address,
    )


def create_report(host):
    return HostReport(
        host_id=host.host_id,
        failure_domain=host.failure_domain,
        link_mbps=100,
        watching=False,
        store_lost=False,
    )


def get_start(number):
    return EndpointStart(endpoint_id=f"e{number}", started_at=1)


DOMAIN = [create_host(number) for number in range(HOSTS)]
RELAY = create_host(200, "b")


class Replay:
    """The hosts of a domain and the engines of another one, which are lost at the same moment."""

    def __init__(self):
        self.fleets = [
            create_fleet(*(create_record(f"e{number}") for number in range(ENGINES)))
            for _ in DOMAIN
        ]
        self.evidence = [PeerEvidence(own=host) for host in DOMAIN]

    def report_loss(self, reporter, starts, now, covers_domain=False):
        """Let all hosts hear of losses, and return their verdicts by host and process."""
        verdicts = {}
        for index, (fleet, evidence) in enumerate(zip(self.fleets, self.evidence, strict=True)):
            if DOMAIN[index] is reporter:
                continue
            evidence.record(create_report(reporter), starts, (), now, covers_domain=covers_domain)
            for start in starts:
                state = get_state(fleet, start.endpoint_id)
                if not state.lost:
                    verdicts[index, start] = evidence.judge_loss(
                        start, state, DOMAIN, now, in_use=False
                    )
        return verdicts


def test_the_probes_of_a_lost_domain_do_not_grow_with_the_hosts():
    """Guards against connections that grow with hosts times endpoints.

    When each host probed each reported engine, a day of 100 hosts and 90 engines had 95,661
    connections for 7,315 requests.
    """
    replay = Replay()
    starts = [get_start(number) for number in range(ENGINES)]
    told = replay.report_loss(RELAY, starts, 10.0, covers_domain=True)
    probing = [key for key, verdict in told.items() if verdict is ReportVerdict.PROBE]
    assert len(probing) == VERIFIERS * ENGINES
    for index, start in probing:
        get_state(replay.fleets[index], start.endpoint_id).lost_at = 10.05
    adopting = set()
    for index, host in enumerate(DOMAIN):
        verified = [start for other, start in probing if other == index]
        verdicts = replay.report_loss(host, verified, 10.1)
        adopting |= {key for key, verdict in verdicts.items() if verdict is ReportVerdict.ADOPT}
    assert len(adopting) == (HOSTS - VERIFIERS) * ENGINES


def find_bystander(start):
    """Return the index of a host that does not verify reports about a process."""
    replay = Replay()
    verdicts = replay.report_loss(RELAY, [start], 1.0, covers_domain=True)
    return next(key[0] for key, verdict in verdicts.items() if verdict is ReportVerdict.WAIT)


def judge(evidence, state, now, in_use=False):
    return evidence.judge_loss(get_start(0), state, DOMAIN, now, in_use=in_use)


def test_one_host_that_is_cut_off_convinces_nobody():
    """Guards against leaving a sound endpoint because of one host's own broken link."""
    index = find_bystander(get_start(0))
    evidence, state = PeerEvidence(own=DOMAIN[index]), get_state(Replay().fleets[0], "e0")
    first, second = (host for host in DOMAIN[:3] if host is not DOMAIN[index])
    for now in (10.0, 10.5):
        evidence.record(create_report(first), [get_start(0)], (), now, covers_domain=False)
        assert judge(evidence, state, now) is ReportVerdict.WAIT
    # Hosts of another domain reach the endpoint by another path.
    evidence.record(create_report(RELAY), [get_start(0)], (), 10.5, covers_domain=True)
    assert judge(evidence, state, 10.5) is ReportVerdict.WAIT
    evidence.record(create_report(second), [get_start(0)], (), 10.5, covers_domain=False)
    assert judge(evidence, state, 10.5) is ReportVerdict.ADOPT
    assert judge(evidence, state, 10.5, in_use=True) is ReportVerdict.PROBE


def test_a_report_that_is_older_than_an_answer_does_not_count():
    """Guards against leaving an endpoint that has come back since it was reported."""
    index = find_bystander(get_start(0))
    evidence, state = PeerEvidence(own=DOMAIN[index]), get_state(Replay().fleets[0], "e0")
    reporters = [host for host in DOMAIN[:3] if host is not DOMAIN[index]]
    for host in reporters:
        evidence.record(create_report(host), [get_start(0)], (), 10.0, covers_domain=False)
    state.alive_at = 10.2
    for host in reporters:
        evidence.record(create_report(host), [get_start(0)], (), 10.5, covers_domain=False)
    assert judge(evidence, state, 10.5) is ReportVerdict.WAIT


def test_a_return_is_adopted_only_where_the_loss_was():
    """Guards against a host that is cut off from an endpoint and uses it since others reach it."""
    index = find_bystander(get_start(0))
    evidence, fleet = PeerEvidence(own=DOMAIN[index]), Replay().fleets[0]
    state, reporter = get_state(fleet, "e0"), DOMAIN[index - 1]
    fleet.mark_lost("e0", 1, 10.0, adopted=True)
    heard = evidence.record(create_report(reporter), (), [get_start(0)], 10.5, covers_domain=False)
    verdict = evidence.judge_return(get_start(0), state, heard, DOMAIN, 10.5)
    assert verdict is ReportVerdict.ADOPT
    fleet.mark_alive("e0", 10.5)
    # The second loss is newer than the return that the peer still reports.
    fleet.mark_lost("e0", 1, 10.6, adopted=True)
    evidence.record(create_report(reporter), (), [get_start(0)], 10.7, covers_domain=False)
    verdict = evidence.judge_return(get_start(0), state, heard, DOMAIN, 10.7)
    assert verdict is ReportVerdict.WAIT
    fleet.mark_lost("e0", 1, 10.8)
    assert not state.loss_adopted
    heard = evidence.record(create_report(RELAY), (), [get_start(0)], 11.0, covers_domain=True)
    verdict = evidence.judge_return(get_start(0), state, heard, DOMAIN, 11.0)
    assert verdict is ReportVerdict.PROBE
