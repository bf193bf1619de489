"""State shared by all forwarders of a host."""

import random
from collections.abc import Callable, Sequence

import attrs
import trio

from gypsumpost_core.gateway.copy_directory import CopyDirectory
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.engine_choice import EngineChoice
from gypsumpost_core.gateway.prefill_rates import PrefillRates
from gypsumpost_core.gateway.retry_budget import RetryBudget
from gypsumpost_core.gateway.retry_supply import GRANTED_FRACTION
from gypsumpost_core.gateway.usage_table import UsageTable
from gypsumpost_daemon.engines.answer_memory import AnswerMemory
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.answer_check import is_own_answer
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.copy_takeover import CopyTakeover
from gypsumpost_daemon.gateway.crash_guard import CrashGuard
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.gateway.endpoint_monitor import EndpointMonitor
from gypsumpost_daemon.gateway.endpoint_notices import EndpointNotices
from gypsumpost_daemon.gateway.endpoint_permits import EndpointPermits
from gypsumpost_daemon.gateway.engine_work_reader import EngineWorkReader
from gypsumpost_daemon.gateway.forwarded_request import ForwardedRequest
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.gateway.gateway_settings import GatewaySettings
from gypsumpost_daemon.gateway.header_names import HeaderNames
from gypsumpost_daemon.prefill.turn_desk import TurnDesk
from gypsumpost_daemon.rollouts.request_versions import ALL_VERSIONS, RequestVersions
from gypsumpost_daemon.rollouts.rollout_state import RolloutState
from gypsumpost_daemon.telemetry.loop_lag import LoopLag

BUDGET_FRACTION = 0.8
"""Fraction of the deployment's retry budget that hosts use, as their windows are not aligned."""


def create_retry_budget(settings: GatewaySettings) -> RetryBudget:
    """Return the retry budget with the bounds in the settings.

    :param settings: settings of the host.
    """
    return RetryBudget(**compute_retry_bounds(settings))


def compute_retry_bounds(settings: GatewaySettings) -> dict[str, float]:
    """Return ratio, allowance and window of the retry budget.

    :param settings: settings of the host.
    """
    return {
        "ratio": settings.retry_ratio * BUDGET_FRACTION,
        "allowance": settings.retry_allowance * BUDGET_FRACTION,
        "window": settings.retry_window_seconds,
    }


@attrs.define(kw_only=True)
class ForwardContext:
    """Directory, budgets and counters of a host.

    :param settings: settings of the host.
    :param adapter: names and formats of the platform.
    :param directory: configuration and endpoints.
    :param monitor: detects lost endpoints.
    :param notices: applies what endpoints say about themselves.
    :param permits: permits for requests to endpoints that limit them.
    :param work_reader: asks engines which requests they work on.
    :param usage: usage of the engines.
    :param rates: prefill rates of the engines.
    :param crash_guard: detects requests that crash endpoints.
    :param copies: locations of the copies of streams.
    :param takeover: finds the copies of streams whose callers come back from other hosts.
    :param turns: shares the prefill time of engines between hosts.
    :param retry_budget: the retry budget.
    :param metrics: counters and histograms.
    :param answer_memory: memory of the unfinished answers of endpoints.
    :param count_hosts: returns the number of hosts that share budgets.
    :param rollouts: what this host knows of roll-outs, ``None`` if the deployment has none.
    :param loop_lag: how late the tasks of this host run.
    :param rng: random number generator that spreads streams over engines.
    """

    settings: GatewaySettings
    adapter: GatewayAdapter
    directory: Directory
    monitor: EndpointMonitor
    notices: EndpointNotices
    permits: EndpointPermits
    work_reader: EngineWorkReader
    usage: UsageTable
    rates: PrefillRates
    crash_guard: CrashGuard
    copies: CopyDirectory
    takeover: CopyTakeover
    turns: TurnDesk
    retry_budget: RetryBudget
    metrics: GatewayMetrics
    count_hosts: Callable[[], int]
    rollouts: RolloutState | None = None
    loop_lag: LoopLag = attrs.field(factory=LoopLag)
    answer_memory: AnswerMemory = attrs.field(factory=AnswerMemory)
    rng: random.Random = attrs.field(factory=random.Random)

    @property
    def header_names(self) -> HeaderNames:
        """The platform's header names."""
        return self.adapter.headers

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply settings that may change while the gateway runs.

        :param settings: the settings.
        """
        self.settings = settings
        self.retry_budget.set_bounds(**compute_retry_bounds(settings))

    async def try_acquire_call_retry(self, service: str) -> bool:
        """Take a retry of a call from the budget; return false if none is left.

        Calls end too soon to tell which host needs how many. Each host has an equal part, and a
        host that needs more asks for it.

        :param service: the service.
        """
        part = (1 - GRANTED_FRACTION) / max(1, self.count_hosts())
        if self.retry_budget.try_acquire(service, trio.current_time(), part):
            return True
        return await self.permits.take_retry(service)

    def try_acquire_stream_retry(self, service: str) -> bool:
        """Take a retry of a stream from the budget; return false if none is left.

        :param service: the service.
        """
        now = trio.current_time()
        return self.retry_budget.try_acquire(service, now, self.usage.compute_own_part(now))

    def compute_budget_left(self, service: str) -> float:
        """Return the retries that are left in the budget of a service, for the log.

        :param service: the service.
        """
        return round(self.retry_budget.compute_remaining(service, trio.current_time()), 1)

    def observe_answer(
        self,
        call: CallerCall,
        record: EndpointRecord,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        sent_at: float,
    ) -> None:
        """Apply what an endpoint says about itself, as soon as the head of its answer is read.

        :param call: the request.
        :param record: the endpoint that it was sent to.
        :param status: status code.
        :param headers: headers in lower case.
        :param sent_at: monotonic time in seconds at which the request was sent.
        """
        if is_own_answer(status, headers, self.header_names, call.request_id):
            self.notices.observe(record, status, headers, sent_at)

    def compute_retry_after(self, service: str, opens_at: float | None, usual: float) -> float:
        """Return after how many seconds a refused request may come back.

        :param service: the service.
        :param opens_at: monotonic time in seconds at which the request may be sent, as far as it
            was told; ``None`` if it was not.
        :param usual: the lowest answer, and the one if all endpoints take requests, in seconds.
        """
        now = trio.current_time()
        if opens_at is None:
            opens_at = self.directory.fleet.find_opening(service, now)
        return usual if opens_at is None else max(usual, opens_at - now)

    def create_versions(self, service: str, route: str) -> RequestVersions:
        """Return the choice of versions for a request.

        :param service: name of its service.
        :param route: name of its route.
        """
        return RequestVersions(
            state=self.rollouts,
            fleet=self.directory.fleet,
            service=service,
            route=route,
            count=self.metrics.count_version,
        )

    def create_choice(self, call: CallerCall | None = None) -> EngineChoice:
        """Return the choice between the engines as this host knows them now.

        :param call: the request, ``None`` for all requests.
        """
        now = trio.current_time()
        versions = ALL_VERSIONS if call is None else call.versions
        return EngineChoice(
            fleet=self.directory.fleet,
            usage=self.usage.sum_all(now),
            rates=self.rates,
            failure_domain=self.settings.failure_domain,
            now=now,
            rng=self.rng,
            select=versions.select,
            select_holders=versions.select_holders,
        )

    def create_request(
        self, call: CallerCall, endpoint_id: str, extra: tuple[tuple[bytes, bytes], ...] = ()
    ) -> ForwardedRequest:
        """Return the request that is sent to an endpoint for a call.

        :param call: the caller's request.
        :param endpoint_id: the endpoint.
        :param extra: additional headers.
        """
        names = self.header_names
        remaining = max(1, int((call.deadline - trio.current_time()) * 1000))
        added = [
            (names.remaining_ms, b"%d" % remaining),
            (names.expected_endpoint, endpoint_id.encode()),
        ]
        if call.workspace:
            added.append((names.workspace, call.workspace.encode()))
        return ForwardedRequest(
            method=call.method,
            path=call.path,
            headers=(*call.headers, *added, *extra),
            body=call.body,
        )
