"""Admission control under load."""

import attrs

from gypsumpost_core.failure import Failure
from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.limits.admission_decision import AdmissionDecision, AdmissionVerdict
from gypsumpost_core.limits.admission_request import AdmissionRequest
from gypsumpost_core.limits.concurrency_limit import ConcurrencyLimit
from gypsumpost_core.limits.fair_queue import FairQueue
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.run_state import RunState
from gypsumpost_core.smoothed_value import SmoothedValue

OVERLOADED_STATUS = 503

DEADLINE_MARGIN = 1.1
"""Factor on the expected service time, to allow for variance in service times."""


@attrs.define(kw_only=True)
class RunningRequest:
    """A generation in flight.

    :param request: its request.
    :param started_at: monotonic time at which it was sent, in seconds.
    """

    request: AdmissionRequest
    started_at: float


@attrs.define(kw_only=True)
class Admission:
    """Decides whether a request starts, is queued or is refused.

    Calls to plain services never queue behind generations: they start immediately up to a separate
    limit, and are refused beyond it.

    :param queue_limit: maximum number of queued generations.
    :param max_wait: a generation is refused if its expected wait exceeds this many seconds. A
        longer queue adds no useful work and prolongs the recovery after an overload.
    :param service_limit: maximum number of service calls in flight.
    :param unix_offset: Unix time minus monotonic time in seconds, for ``retry_at``.
    :param limit: adaptive limit on generations in flight.
    """

    queue_limit: int = 1024
    max_wait: float = 2.0
    service_limit: int = 1024
    unix_offset: float = 0.0
    limit: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    _queue: FairQueue = attrs.field(factory=FairQueue)
    _running: dict[str, RunningRequest] = attrs.field(factory=dict)
    _service_calls: set[str] = attrs.field(factory=set)
    _durations: SmoothedValue = attrs.field(factory=lambda: SmoothedValue(weight=0.02))
    _time_per_cost: SmoothedValue = attrs.field(factory=lambda: SmoothedValue(weight=0.02))

    def offer(self, request: AdmissionRequest, now: float) -> list[AdmissionDecision]:
        """Start, queue or refuse a new request.

        :param request: the request.
        :param now: monotonic time in seconds.
        :returns: decisions for this request and for queued ones that it displaces.
        """
        if request.kind is EndpointKind.SERVICE:
            return [self._offer_service_call(request, now)]
        if not len(self._queue) and len(self._running) < self.limit.get_limit():
            if now >= self._compute_latest_start(request):
                return [self._refuse(request, "deadline_unreachable", now)]
            self._queue.charge(request)
            return [self._run(request, now)]
        wait = self._estimate_wait(request)
        if now + wait > self._compute_latest_start(request):
            return [self._refuse(request, "deadline_unreachable", now)]
        if wait > self.max_wait:
            return [self._refuse(request, "overloaded", now)]
        return self._enqueue(request, now)

    def start(self, request_id: str, now: float) -> None:
        """Record the time at which a request with the verdict ``START`` was sent to its endpoint.

        :param request_id: id of the request.
        :param now: monotonic time in seconds.
        """
        if request_id in self._running:
            self._running[request_id].started_at = now

    def observe_first_token(self, wait: float, now: float) -> None:
        """Adapt the limit to a time to first token.

        :param wait: seconds from sending to the first token.
        :param now: monotonic time in seconds.
        """
        self.limit.observe_first_token(wait, len(self._running), now)

    def update_capacity(self, capacity: float, now: float) -> list[AdmissionDecision]:
        """Set this daemon's share of the live engines' batch slots.

        :param capacity: number of slots.
        :param now: monotonic time in seconds.
        :returns: decisions for queued requests that can start now.
        """
        self.limit.capacity = capacity
        return self._start_waiting(now)

    def finish(
        self, request_id: str, now: float, completed: bool = True
    ) -> list[AdmissionDecision]:
        """Remove a request in any state, including one whose caller has disconnected.

        :param request_id: id of the request.
        :param now: monotonic time in seconds.
        :param completed: false if it ended early; its duration is then not measured.
        :returns: decisions for queued requests.
        """
        self._service_calls.discard(request_id)
        ended = self._running.pop(request_id, None)
        if ended is not None and completed:
            duration = now - ended.started_at
            self._durations.observe(duration)
            self._time_per_cost.observe(duration / max(ended.request.cost, 1.0))
        if ended is None:
            self._withdraw(request_id)
        return self._start_waiting(now)

    def expire(self, now: float) -> list[AdmissionDecision]:
        """Refuse the queued requests that can no longer meet their deadline.

        :param now: monotonic time in seconds.
        :returns: these refusals, and decisions for queued requests that can start now.
        """
        late = [request for request in self._queue if now >= self._compute_latest_start(request)]
        for request in late:
            self._queue.remove(request)
        refusals = [self._refuse(request, "deadline_unreachable", now) for request in late]
        return refusals + self._start_waiting(now)

    def count_waiting(self) -> int:
        """Return the number of queued generations."""
        return len(self._queue)

    def count_running(self) -> int:
        """Return the number of generations in flight."""
        return len(self._running)

    def _offer_service_call(self, request: AdmissionRequest, now: float) -> AdmissionDecision:
        if now >= request.deadline:
            return self._refuse(request, "deadline_unreachable", now)
        if len(self._service_calls) >= self.service_limit:
            return self._refuse(request, "overloaded", now)
        self._service_calls.add(request.request_id)
        return _decide_start(request)

    def _enqueue(self, request: AdmissionRequest, now: float) -> list[AdmissionDecision]:
        self._queue.push(request)
        queued = AdmissionDecision(
            request_id=request.request_id,
            verdict=AdmissionVerdict.QUEUED,
            check_at=self._compute_latest_start(request),
        )
        if len(self._queue) <= self.queue_limit:
            return [queued, *self._start_waiting(now)]
        dropped = self._queue.find_request_to_drop()
        self._queue.remove(dropped)
        refused = self._refuse(dropped, "overloaded", now)
        return [refused] if dropped is request else [queued, refused]

    def _start_waiting(self, now: float) -> list[AdmissionDecision]:
        decisions = []
        while len(self._queue) and len(self._running) < self.limit.get_limit():
            request = self._queue.pop()
            if now >= self._compute_latest_start(request):
                decisions.append(self._refuse(request, "deadline_unreachable", now))
            else:
                decisions.append(self._run(request, now))
        return decisions

    def _run(self, request: AdmissionRequest, now: float) -> AdmissionDecision:
        self._running[request.request_id] = RunningRequest(request=request, started_at=now)
        return _decide_start(request)

    def _withdraw(self, request_id: str) -> None:
        for request in self._queue:
            if request.request_id == request_id:
                self._queue.remove(request)
                return

    def _compute_latest_start(self, request: AdmissionRequest) -> float:
        return request.deadline - DEADLINE_MARGIN * request.cost * self._time_per_cost.mean

    def _estimate_wait(self, request: AdmissionRequest) -> float:
        interval = self._durations.mean / self.limit.get_limit()
        return (self._queue.count_ahead(request) + 1) * interval

    def _refuse(self, request: AdmissionRequest, code: str, now: float) -> AdmissionDecision:
        running = request.request_id in self._running
        require(Invariant.TRUTHFUL_NOT_RUN, not running, request)
        failure = Failure(
            status=OVERLOADED_STATUS,
            code=code,
            message="The system is too busy to answer this request before its deadline.",
            run_state=RunState.NOT_RUN,
            retry_at=now + self.unix_offset + self._estimate_wait(request),
        )
        return AdmissionDecision(
            request_id=request.request_id, verdict=AdmissionVerdict.REFUSED, failure=failure
        )


def _decide_start(request: AdmissionRequest) -> AdmissionDecision:
    return AdmissionDecision(request_id=request.request_id, verdict=AdmissionVerdict.START)
