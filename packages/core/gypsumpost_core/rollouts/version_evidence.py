"""Evidence about versions: counts of this host and of its peers."""

import attrs
import xxhash

from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome
from gypsumpost_core.rollouts.evidence_key import EvidenceKey
from gypsumpost_core.rollouts.evidence_report import EvidenceReport
from gypsumpost_core.rollouts.evidence_row import EvidenceRow
from gypsumpost_core.rollouts.evidence_sum import EvidenceSum
from gypsumpost_core.rollouts.sent_request import SentRequest
from gypsumpost_core.rollouts.version_count import VersionCount

WINDOW_MS = 2_000
# A report still reaches its receivers after the loss of several datagrams in a row.
REPORTED_WINDOWS = 4
# Longer than reports are repeated, so that a window is closed only after its last report.
OPEN_WINDOWS = 2 * REPORTED_WINDOWS
# Covers two minutes of a busy service and hours of an idle one.
KEPT_ROWS = 1_500
ENDPOINT_GROUPS = 16
# Below this factor callers still meet their deadlines, and uneven load can explain it.
SLOW_FACTOR = 3.0
SLOW_FLOOR_MS = 50.0
REFERENCE_ANSWERS = 5

Source = tuple[str, int]
Counts = dict[EvidenceKey, VersionCount]


@attrs.define(kw_only=True)
class VersionEvidence:
    """Counts answers by version and merges the counts of other hosts.

    Each report holds counts since the start of a window, which only grow, so a report that is lost
    is replaced by the next one, and one that arrives twice or late changes nothing. Only services
    with a running roll-out are counted.

    :param host_id: this host.
    :param failure_domain: its failure domain.
    :param epoch: number of this start of the host; higher than at its earlier starts.
    """

    host_id: str
    failure_domain: str
    epoch: int
    _targets: dict[str, str] = attrs.field(factory=dict, init=False)
    _sent: set[SentRequest] = attrs.field(factory=set, init=False)
    _slow_bounds: dict[tuple[str, str], float] = attrs.field(factory=dict, init=False)
    _sources: dict[Source, Counts] = attrs.field(factory=dict, init=False)
    _domains: set[str] = attrs.field(factory=set, init=False)
    _closed: Counts = attrs.field(factory=dict, init=False)

    def start(self, service: str, target_version: str) -> None:
        """Begin to count the answers of a service; evidence about another target is discarded.

        :param service: name of the service.
        :param target_version: the version that is compared with the others.
        """
        if self._targets.get(service) == target_version:
            return
        self.stop(service)
        self._targets[service] = target_version

    def stop(self, service: str) -> None:
        """Discard all evidence about a service.

        :param service: name of the service.
        """
        self._targets.pop(service, None)
        self._sent = {sent for sent in self._sent if sent.service != service}
        self._slow_bounds = {
            key: bound for key, bound in self._slow_bounds.items() if key[0] != service
        }
        for counts in [self._closed, *self._sources.values()]:
            for key in [key for key in counts if key.service == service]:
                del counts[key]

    def record_sent(
        self, *, service: str, version: str, route: str, endpoint_id: str, now_ms: int
    ) -> SentRequest | None:
        """Count a request that is sent to an endpoint.

        :param service: name of the service.
        :param version: version of the endpoint.
        :param route: id of the route.
        :param endpoint_id: the endpoint.
        :param now_ms: Unix time in milliseconds.
        :returns: the request, to be passed to ``record_answer`` or ``forget``; ``None`` if the
            service has no running roll-out.
        """
        if service not in self._targets:
            return None
        is_target = version == self._targets[service]
        sent = SentRequest(
            service=service,
            version=version,
            route=route,
            group=find_endpoint_group(endpoint_id) if is_target else 0,
            sent_at_ms=now_ms,
        )
        self._sent.add(sent)
        self._count(sent, VersionCount(arrivals=1), now_ms)
        return sent

    def record_answer(self, sent: SentRequest, outcome: AnswerOutcome, now_ms: int) -> None:
        """Count the begin of an answer, or a failure before or after it has begun.

        :param sent: the request.
        :param outcome: how it went.
        :param now_ms: Unix time in milliseconds.
        """
        if sent.service not in self._targets or sent.failed:
            return
        self._sent.discard(sent)
        failed = outcome is AnswerOutcome.FAILED
        first = not sent.answered
        sent.answered = True
        sent.failed = failed
        self._count(sent, VersionCount(answers=int(first), failures=int(failed)), now_ms)
        if first and outcome is AnswerOutcome.TIMED_OUT:
            self._count_slow(sent, now_ms)
        elif first and not failed:
            self._count_time(sent, now_ms)

    def record_shared_failure(self, sent: SentRequest, now_ms: int) -> None:
        """Count that a failed request has failed at another version, too.

        :param sent: the request at the version that failed first.
        :param now_ms: Unix time in milliseconds.
        """
        if sent.failed and sent.service in self._targets:
            self._count(sent, VersionCount(shared=1), now_ms)

    def forget(self, sent: SentRequest) -> None:
        """Discard a request that says nothing about its version.

        The caller has left, the connection was lost or the endpoint had no room.

        :param sent: the request.
        """
        self._sent.discard(sent)

    def snapshot(self, now_ms: int) -> EvidenceReport:
        """Return this host's counts of the last windows.

        :param now_ms: Unix time in milliseconds.
        """
        self._count_overdue(now_ms)
        self._close_windows(now_ms)
        counts = self._sources.get((self.host_id, self.epoch), {})
        return EvidenceReport(
            source=self.host_id, epoch=self.epoch, rows=list_recent(counts, now_ms)
        )

    def sum_domain(self, now_ms: int) -> EvidenceReport:
        """Return the sum of the last windows over the hosts of this failure domain.

        :param now_ms: Unix time in milliseconds.
        """
        self._count_overdue(now_ms)
        self._close_windows(now_ms)
        total: Counts = {}
        for (source, _), counts in self._sources.items():
            if source not in self._domains:
                add_counts(total, counts)
        return EvidenceReport(source=self.failure_domain, epoch=0, rows=list_recent(total, now_ms))

    def merge(self, report: EvidenceReport, *, of_domain: bool, now_ms: int) -> None:
        """Take in a report of a host of the own domain, or the sum of another domain.

        :param report: the report.
        :param of_domain: true for the sum of a domain.
        :param now_ms: Unix time in milliseconds.
        """
        if report.source in (self.host_id, self.failure_domain):
            return
        if of_domain:
            self._domains.add(report.source)
        counts = self._sources.setdefault((report.source, report.epoch), {})
        window = now_ms // WINDOW_MS
        for row in report.rows:
            is_open = abs(window - row.key.window) < OPEN_WINDOWS
            if is_open and row.key.service in self._targets:
                counts[row.key] = row.count.merge(counts.get(row.key, VersionCount()))

    def sum_counts(self, service: str, now_ms: int) -> EvidenceSum:
        """Return the sum over all known hosts, and update the time from which answers are slow.

        :param service: name of the service.
        :param now_ms: Unix time in milliseconds.
        """
        self._count_overdue(now_ms)
        self._close_windows(now_ms)
        total: Counts = {}
        for counts in [self._closed, *self._sources.values()]:
            add_counts(total, {key: counts[key] for key in counts if key.service == service})
        rows = tuple(EvidenceRow(key=key, count=count) for key, count in total.items())
        evidence = EvidenceSum(rows=rows)
        self._update_slow_bounds(service, evidence)
        return evidence

    def _count(self, sent: SentRequest, count: VersionCount, now_ms: int) -> None:
        key = EvidenceKey(
            service=sent.service,
            version=sent.version,
            route=sent.route,
            window=now_ms // WINDOW_MS,
            group=sent.group,
        )
        counts = self._sources.setdefault((self.host_id, self.epoch), {})
        counts[key] = counts.get(key, VersionCount()).add(count)

    def _count_time(self, sent: SentRequest, now_ms: int) -> None:
        elapsed_ms = now_ms - sent.sent_at_ms
        self._count(sent, VersionCount(elapsed_ms=elapsed_ms), now_ms)
        bound = self._slow_bounds.get((sent.service, sent.route))
        if bound is None or sent.slow:
            return
        if elapsed_ms > bound:
            self._count_slow(sent, now_ms)
        else:
            self._count(sent, VersionCount(timed=1), now_ms)

    def _count_slow(self, sent: SentRequest, now_ms: int) -> None:
        if not sent.slow:
            sent.slow = True
            self._count(sent, VersionCount(timed=1, slow=1), now_ms)

    def _count_overdue(self, now_ms: int) -> None:
        # A slow answer is evidence before it arrives: it may take longer than the roll-out.
        for sent in self._sent:
            bound = self._slow_bounds.get((sent.service, sent.route))
            if bound is not None and now_ms - sent.sent_at_ms > bound:
                self._count_slow(sent, now_ms)

    def _update_slow_bounds(self, service: str, evidence: EvidenceSum) -> None:
        # The bound comes from all hosts: one host alone may see few answers of a route.
        target = self._targets.get(service)
        if target is None:
            return
        for route, count in evidence.sum_routes(lambda key: key.version != target).items():
            served = count.answers - count.failures
            if served >= REFERENCE_ANSWERS:
                bound = SLOW_FACTOR * count.elapsed_ms / served
                self._slow_bounds[service, route] = max(SLOW_FLOOR_MS, bound)

    def _close_windows(self, now_ms: int) -> None:
        window = now_ms // WINDOW_MS
        for counts in self._sources.values():
            old = [key for key in counts if key.window <= window - OPEN_WINDOWS]
            add_counts(self._closed, {key: counts.pop(key) for key in old})
            # Windows in the future come from a clock that was set back.
            for key in [key for key in counts if key.window >= window + OPEN_WINDOWS]:
                del counts[key]
        if len(self._closed) > KEPT_ROWS:
            keys = sorted(self._closed, key=lambda key: key.window)
            for key in keys[: len(keys) - KEPT_ROWS]:
                del self._closed[key]
        self._sources = {source: counts for source, counts in self._sources.items() if counts}


def find_endpoint_group(endpoint_id: str) -> int:
    """Return the number of an endpoint's group.

    :param endpoint_id: the endpoint.
    """
    return xxhash.xxh3_64_intdigest(endpoint_id.encode()) % ENDPOINT_GROUPS


def add_counts(total: Counts, counts: Counts) -> None:
    """Add counts to a total.

    :param total: the total; changed.
    :param counts: the counts to add.
    """
    for key, count in counts.items():
        total[key] = total[key].add(count) if key in total else count


def list_recent(counts: Counts, now_ms: int) -> tuple[EvidenceRow, ...]:
    """Return the counts of the windows that are still reported.

    :param counts: the counts.
    :param now_ms: Unix time in milliseconds.
    """
    first = now_ms // WINDOW_MS - REPORTED_WINDOWS
    return tuple(
        EvidenceRow(key=key, count=count) for key, count in counts.items() if key.window > first
    )
