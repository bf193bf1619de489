"""Client for the endpoints of plain services."""

import math
import random
from collections import Counter
from collections.abc import Callable

import attrs
import httpcore
import trio
from result import Err, Ok, Result

from gypsumpost_core.calls.call_retry_budget import CallRetryBudget
from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.calls.send_failure import SendFailure
from gypsumpost_daemon.calls.service_request import NOT_FORWARDED, ServiceRequest
from gypsumpost_daemon.engines.answer_memory import AnswerMemory, AnswerTooLongError
from gypsumpost_daemon.engines.endpoint_probe import ProbeResult, probe_endpoint
from gypsumpost_daemon.engines.h11_engine_connection import FRAMING_HEADERS
from gypsumpost_daemon.engines.sent_trace import SentTrace
from gypsumpost_daemon.http.body_buffer import BodyBuffer
from gypsumpost_daemon.http.http_response import STATUS_WITHOUT_BODY
from gypsumpost_daemon.limits.endpoint_signals import EndpointSignals
from gypsumpost_daemon.limits.permit_terms import PermitTerms
from gypsumpost_daemon.telemetry.log import Log

ATTEMPT_SECONDS = 5.0
"""Timeout of one attempt of an idempotent request, to leave time for another endpoint if one is
paused."""

CONNECT_SECONDS = 1.0
AVOID_SECONDS = 2.0
"""How long an endpoint is ranked last after a failure. Without this, one dead endpoint of two gets
half of the first attempts, while the retry budget covers only a tenth of them."""

PERMIT_WAIT_SECONDS = 2.0
"""How long a call waits for an endpoint that limits its requests; a longer queue serves no more."""

MAX_ANSWER_BYTES = 16 << 20
"""Answers are passed on whole, and a faulty service may send bytes without end."""

LOG = Log(prefix="call")
FORBIDDEN = "the deadline of the claim or key passed before the first byte"
NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)
SendOutcome = Result[CallerResponse, SendFailure]
SendCheck = Callable[[], bool]


class _SendForbidden(Exception):
    """Raised before the first byte if the final check fails."""


class ServiceSender:
    """Selects endpoints and sends requests.

    A non-idempotent request is never sent again after its first byte.

    :param list_endpoints: returns the known endpoints.
    :param failure_domain: domain of this host; its endpoints are preferred.
    :param signals: what endpoints say about themselves.
    :param budget: limits retries.
    :param rng: random number generator for ties between endpoints.
    :param answer_memory: memory of the unfinished answers of endpoints.
    """

    def __init__(
        self,
        *,
        list_endpoints: Callable[[], list[Endpoint]],
        failure_domain: str,
        signals: EndpointSignals,
        budget: CallRetryBudget | None = None,
        rng: random.Random | None = None,
        answer_memory: AnswerMemory | None = None,
    ) -> None:
        self._list_endpoints = list_endpoints
        self._failure_domain = failure_domain
        self._signals = signals
        self._budget = budget or CallRetryBudget()
        self._memory = answer_memory or AnswerMemory()
        self._rng = rng or random.Random()
        self._in_flight: Counter[str] = Counter()
        self._avoided_until: dict[str, float] = {}
        # Connections are not reused: the service may close an idle one at any time, and the run
        # state of a request written to it would be unknown.
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=0,
            network_backend=httpcore.TrioBackend(),
        )

    async def send(
        self, request: ServiceRequest, idempotent: bool, check: SendCheck | None = None
    ) -> SendOutcome:
        """Send a request to an endpoint, and retry at other ones if that is allowed.

        :param request: the request.
        :param idempotent: true if it may be sent again after its first byte.
        :param check: called right before the first byte; the request is not sent if it returns
            false.
        """
        self._budget.record_first_attempt()
        failure = self._explain_no_endpoint(request.service)
        maybe_run = False
        ranked = self._rank_endpoints(request.service)
        attempts = 0
        while ranked:
            if attempts and not self._may_retry(request, maybe_run, idempotent):
                break
            permitted = await self._take_permit(request, ranked)
            if isinstance(permitted, Err):
                failure = permitted.err_value if not attempts else failure
                break
            endpoint = permitted.ok_value
            ranked.remove(endpoint)
            attempts += 1
            outcome = await self._attempt(request, endpoint, idempotent, check)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            maybe_run = maybe_run or failure.sent
            if failure.reason == FORBIDDEN:
                break
        return Err(attrs.evolve(failure, sent=maybe_run))

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _take_permit(
        self, request: ServiceRequest, ranked: list[Endpoint]
    ) -> Result[Endpoint, SendFailure]:
        deadline = request.caller.deadline
        terms = PermitTerms(
            priority=0,
            queue_until=min(deadline, trio.current_time() + PERMIT_WAIT_SECONDS),
            deadline=min(deadline, trio.current_time() + PERMIT_WAIT_SECONDS),
        )
        permitted = await self._signals.take_any(request.service, ranked, terms)
        if isinstance(permitted, Err):
            reason = "all endpoints of the service are at the limit that they have named"
            return Err(SendFailure(reason=reason, sent=False, opens_at=permitted.err_value))
        return Ok(permitted.ok_value)

    def _may_retry(self, request: ServiceRequest, maybe_run: bool, idempotent: bool) -> bool:
        in_time = trio.current_time() < request.caller.deadline
        return in_time and (idempotent or not maybe_run) and self._budget.try_acquire()

    def _rank_endpoints(self, service: str) -> list[Endpoint]:
        now = trio.current_time()
        usable = [
            endpoint
            for endpoint in self._list_live(service)
            if self._signals.find_pause_end(endpoint, now) is None
        ]
        self._rng.shuffle(usable)
        return sorted(usable, key=self._compute_rank)

    def _list_live(self, service: str) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._list_endpoints()
            if endpoint.kind is EndpointKind.SERVICE
            and endpoint.service == service
            and endpoint.status is EndpointStatus.LIVE
            and not self._signals.is_leaving(endpoint)
        ]

    def _explain_no_endpoint(self, service: str) -> SendFailure:
        """Return the failure of a request for which no endpoint is open."""
        live = self._list_live(service)
        if not live:
            return SendFailure(reason="no live endpoint of the service", sent=False)
        now = trio.current_time()
        opens_at = min(self._signals.find_pause_end(endpoint, now) or now for endpoint in live)
        reason = "all endpoints of the service have asked for a pause"
        return SendFailure(reason=reason, sent=False, opens_at=opens_at)

    def _compute_rank(self, endpoint: Endpoint) -> tuple[bool, bool, int]:
        avoided = trio.current_time() < self._avoided_until.get(endpoint.name, -math.inf)
        foreign = endpoint.failure_domain != self._failure_domain
        return avoided, foreign, self._in_flight[endpoint.name]

    def _record_outcome(self, endpoint: Endpoint, outcome: SendOutcome) -> None:
        if isinstance(outcome, Ok):
            self._avoided_until.pop(endpoint.name, None)
        elif outcome.err_value.reason != FORBIDDEN:
            self._avoided_until[endpoint.name] = trio.current_time() + AVOID_SECONDS

    async def _attempt(
        self,
        request: ServiceRequest,
        endpoint: Endpoint,
        idempotent: bool,
        check: SendCheck | None,
    ) -> SendOutcome:
        live = endpoint.status is EndpointStatus.LIVE
        require(Invariant.NO_NEW_WORK_WHEN_LEAVING, live, endpoint)
        deadline = request.caller.deadline
        if idempotent:
            deadline = min(deadline, trio.current_time() + ATTEMPT_SECONDS)
        self._in_flight[endpoint.name] += 1
        try:
            outcome = await self._exchange(request, endpoint, deadline, check)
            self._record_outcome(endpoint, outcome)
            return outcome
        finally:
            self._in_flight[endpoint.name] -= 1
            if not self._in_flight[endpoint.name]:
                del self._in_flight[endpoint.name]

    async def _exchange(
        self,
        request: ServiceRequest,
        endpoint: Endpoint,
        deadline: float,
        check: SendCheck | None,
    ) -> SendOutcome:
        sent_at = trio.current_time()
        trace = SentTrace(check=_make_guard(check))
        reason = "no answer in time"
        try:
            with trio.move_on_at(deadline):
                async with self._pool.stream(
                    request.caller.method,
                    f"http://{endpoint.address}{request.target}",
                    headers=request.list_headers(endpoint),
                    content=request.caller.body,
                    extensions={"trace": trace.observe, "timeout": {"connect": CONNECT_SECONDS}},
                ) as response:
                    body = await self._read_body(response)
                if is_unframed(request.caller.method, response):
                    if not trace.complete:
                        reason = "the answer may have been reset during the upload"
                        return Err(SendFailure(reason=reason, sent=True))
                    if not await _is_alive(endpoint):
                        reason = "the endpoint ended with its answer"
                        return Err(SendFailure(reason=reason, sent=True))
                converted = _convert_response(response, body)
                self._signals.observe(endpoint, converted.status, converted.headers, sent_at)
                return Ok(converted)
        except _SendForbidden:
            return Err(SendFailure(reason=FORBIDDEN, sent=False))
        except (*NETWORK_ERRORS, AnswerTooLongError) as error:
            reason = f"{type(error).__name__}: {error}"
        return Err(SendFailure(reason=reason, sent=trace.sent))

    async def _read_body(self, response: httpcore.Response) -> bytes:
        body = BodyBuffer()
        with self._memory.open_share() as share:
            async for part in response.aiter_stream():
                body.append(part)
                if body.size > MAX_ANSWER_BYTES:
                    raise AnswerTooLongError(f"the body is longer than {MAX_ANSWER_BYTES} bytes")
                share.resize(body.size)
        return body.take()


def _make_guard(check: SendCheck | None) -> Callable[[], None] | None:
    if check is None:
        return None

    def guard() -> None:
        if not check():
            raise _SendForbidden

    return guard


def is_unframed(method: str, response: httpcore.Response) -> bool:
    """Return true if an answer ended with its connection, so that its end may be a crash.

    :param method: method of the request.
    :param response: the answer.
    """
    if method == "HEAD" or response.status in STATUS_WITHOUT_BODY:
        return False
    return not any(name.lower() in FRAMING_HEADERS for name, _ in response.headers)


async def _is_alive(endpoint: Endpoint) -> bool:
    return await probe_endpoint(endpoint.address) is ProbeResult.ALIVE


def _convert_response(response: httpcore.Response, body: bytes) -> CallerResponse:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
        if name.decode("latin-1").lower() not in NOT_FORWARDED
    }
    return CallerResponse(status=response.status, headers=headers, body=body)
