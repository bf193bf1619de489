"""Replays a roll-out over several hosts without a network."""

import heapq
import random
from collections.abc import Callable

from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome
from gypsumpost_core.rollouts.fleet_view import FleetView
from gypsumpost_core.rollouts.rollout_decider import decide_step
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings
from gypsumpost_core.rollouts.sent_request import SentRequest
from gypsumpost_core.rollouts.verdict import Verdict
from gypsumpost_core.rollouts.version_choice import VersionChoice
from gypsumpost_core.rollouts.version_evidence import VersionEvidence
from gypsumpost_core.rollouts.version_judge import judge_version

SETTINGS = RolloutSettings(expose_share=0.1, expose_slack=50, rollback_seconds=5.0)
START_MS = 1_800_000_000_000
TICK_MS = 100
REPORT_MS = 500
ENDPOINTS = 12

# Version, route, endpoint, seconds since the order, requests of the endpoint -> outcome, seconds.
Reply = tuple[AnswerOutcome | None, float]
Answer = Callable[[str, str, int, float, int], Reply]
Open = tuple[int, int, int, str, int, SentRequest | None, AnswerOutcome | None]


class FleetReplay:
    """Hosts in two domains that serve two routes while a roll-out runs from ``1`` to ``2``."""

    def __init__(
        self,
        answer: Answer,
        *,
        seconds: float = 20.0,
        rate: float = 40.0,
        hosts: int = 6,
        seed: int = 1,
    ) -> None:
        self.answer, self.rate, self.rng = answer, rate, random.Random(seed)
        self.order = RolloutOrder(service="s", target_version="2", seconds=seconds, revision=7)
        self.evidence = [
            VersionEvidence(host_id=f"h{n}", failure_domain=f"d{n % 2}", epoch=1)
            for n in range(hosts)
        ]
        self.choices = [
            VersionChoice(settings=SETTINGS, rng=random.Random(seed * 100 + n))
            for n in range(hosts)
        ]
        self.records: list[RolloutRecord] = []
        self.open: list[Open] = []
        self.requests = self.exposed = 0
        self.exposed_at_ms: list[int] = []
        self.bad_at_ms: list[int] = []
        self.stop_decider_at_bad_answer = False
        self.running = {"1": 0, "2": 0}
        self.load: dict[tuple[str, int], int] = {}

    @property
    def record(self) -> RolloutRecord | None:
        """The last record."""
        return self.records[-1] if self.records else None

    def run(self, delay_ms: int = 300) -> RolloutRecord:
        """Play until a second after the deadline and return the last record.

        :param delay_ms: time after which hosts know a record.
        """
        for choice in self.choices:
            choice.put_hosts(len(self.choices))
            choice.put_order(self.order)
        end_ms = START_MS + int(self.order.seconds * 1_000) + 1_000
        for now_ms in range(START_MS, end_ms, TICK_MS):
            self._answer(now_ms)
            for _ in range(int(self.rate * TICK_MS / 1_000 + self.rng.random())):
                self._send(now_ms)
            if now_ms % REPORT_MS == 0:
                self._report(now_ms)
                self._decide(now_ms)
            for choice in self.choices:
                for record in self.records:
                    if record.share_since_ms + delay_ms <= now_ms:
                        choice.put_record(record, now_ms / 1_000)
                choice.confirm(now_ms / 1_000)
        return self.records[-1]

    def _send(self, now_ms: int) -> None:
        host = self.rng.randrange(len(self.choices))
        route = self.rng.choice("ab")
        allowed = self.choices[host].choose("s", frozenset("12"), now_ms / 1_000)
        # Both versions only long after the completion, when the old servers have stopped.
        version = max(allowed.preferred)
        if allowed.exposes:
            self.choices[host].record_exposure("s")
        self.requests += 1
        self.exposed += version == "2"
        if version == "2":
            self.exposed_at_ms.append(now_ms)
        # New requests of a version go to as many endpoints as its part of the load needs.
        share = self.record.share if self.record and version == "2" else 1.0
        endpoint = self.rng.randrange(max(3, round(ENDPOINTS * share)))
        load = self.load.get((version, endpoint), 0)
        self.load[version, endpoint] = load + 1
        seconds_in = (now_ms - START_MS) / 1_000
        outcome, seconds = self.answer(version, route, endpoint, seconds_in, load)
        sent = self.evidence[host].record_sent(
            service="s",
            version=version,
            route=route,
            endpoint_id=f"{version}-{endpoint}",
            now_ms=now_ms,
        )
        self.running[version] += 1
        key = (now_ms + int(seconds * 1_000), self.requests)
        heapq.heappush(self.open, (*key, host, version, endpoint, sent, outcome))

    def _answer(self, now_ms: int) -> None:
        while self.open and self.open[0][0] <= now_ms:
            _, _, host, version, endpoint, sent, outcome = heapq.heappop(self.open)
            self.running[version] -= 1
            self.load[version, endpoint] -= 1
            if version == "2" and outcome is not AnswerOutcome.SERVED:
                self.bad_at_ms.append(now_ms)
            if sent is None:
                continue
            if outcome is None:
                self.evidence[host].forget(sent)
            else:
                self.evidence[host].record_answer(sent, outcome, now_ms)

    def _report(self, now_ms: int) -> None:
        for source in self.evidence:
            source.start("s", "2")
            own, domain = source.snapshot(now_ms), source.sum_domain(now_ms)
            for peer in self.evidence:
                if peer.failure_domain == source.failure_domain:
                    peer.merge(own, of_domain=False, now_ms=now_ms)
                elif self.rng.random() < 0.7:
                    peer.merge(domain, of_domain=True, now_ms=now_ms)
        for evidence, choice in zip(self.evidence, self.choices, strict=True):
            judgement = judge_version(evidence.sum_counts("s", now_ms), "2")
            choice.put_brake("s", judgement.verdict is Verdict.BAD)

    def _decide(self, now_ms: int) -> None:
        if self.stop_decider_at_bad_answer and self.bad_at_ms:
            return
        # The decider moves between the hosts.
        decider = self.evidence[now_ms // 4_000 % len(self.evidence)]
        fleet = FleetView(
            service_known=True,
            target_endpoints=ENDPOINTS,
            other_endpoints=ENDPOINTS,
            other_requests=self.running["1"],
            missing_hosts=0,
            hosts=len(self.choices),
        )
        step = decide_step(
            record=self.record,
            order=self.order,
            evidence=decider.sum_counts("s", now_ms),
            fleet=fleet,
            settings=SETTINGS,
            fencing_token=1 + (now_ms - START_MS) // 4_000,
            now_ms=now_ms,
        )
        if step.record is not None:
            self.records.append(step.record)


def has_ended(record: RolloutRecord, phase: RolloutPhase) -> bool:
    """Return true if a roll-out ended in a phase by its deadline."""
    return record.phase is phase and record.share_since_ms <= record.deadline_ms
