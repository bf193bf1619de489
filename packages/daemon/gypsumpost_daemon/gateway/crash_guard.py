"""Detects requests, and parts of prompts, that crash the endpoints that run them."""

from collections.abc import Callable

import trio

from gypsumpost_core.gateway.blame import Blame
from gypsumpost_core.gateway.crash_key import CrashKey
from gypsumpost_core.gateway.crash_register import CrashRegister
from gypsumpost_core.gateway.crash_report import CrashReport
from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.run_progress import RunProgress
from gypsumpost_core.gateway.survival_report import SurvivalReport
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.crash_trial import CrashTrial
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="crash")


class CrashGuard:
    """Collects the evidence of this host, and exchanges it with the peers.

    :param fleet: the endpoints and their losses.
    :param metrics: counters of the gateway.
    :param is_responsible: returns true if this host, of all live ones, decides about a cause.
    """

    def __init__(
        self,
        *,
        fleet: EndpointFleet,
        metrics: GatewayMetrics,
        is_responsible: Callable[[CrashKey], bool],
    ) -> None:
        self._fleet = fleet
        self._is_responsible = is_responsible
        self._trials: dict[CrashKey, CrashTrial] = {}
        self._metrics = metrics
        self._register = CrashRegister()
        self._listeners: list[Callable[[], None]] = []
        self._forward_listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when this host has new evidence."""
        self._listeners.append(listener)

    def add_forward_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when a peer has sent new evidence."""
        self._forward_listeners.append(listener)

    def count_causes(self) -> int:
        """Return the number of requests and parts that are refused."""
        return len(self._register.causes)

    def find_cause(self, call: CallerCall) -> Blame | None:
        """Return why a request must not run, ``None`` if it may.

        :param call: the request.
        """
        now = trio.current_time()
        self._review(now)
        for blame in self._register.list_causes(call.suspect):
            if not self._may_try(blame, call, now):
                return blame
        return None

    def record_loss(self, record: EndpointRecord) -> None:
        """Record that an endpoint was lost, whether or not it had requests of this host.

        :param record: the endpoint.
        """
        self._register.add_loss(identify(record), record.failure_domain, trio.current_time())

    def record_crash(self, call: CallerCall, record: EndpointRecord, progress: RunProgress) -> None:
        """Record that an endpoint was lost while it had a request.

        This counts against the request if the endpoint has crashed, and not long after it had begun
        to write. One that can no longer be reached says nothing about its requests.

        :param call: the request.
        :param record: the endpoint.
        :param progress: how far the request had come.
        """
        crashed = self._fleet.has_crashed(record)
        counts = crashed and not progress.survived
        self._metrics.count_crash_suspect(progress.stage, counts=counts)
        LOG.write(
            "an endpoint was lost while it had a request",
            request_id=call.request_id,
            fingerprint=call.fingerprint.hex(),
            parts=[part.hex() for part in call.shared_parts],
            endpoint=record.endpoint_id,
            crashed=crashed,
            stage=progress.stage,
            sent_seconds=round(progress.sent_seconds, 3),
            written_seconds=progress.written_seconds and round(progress.written_seconds, 3),
            counts=counts,
        )
        if not counts:
            return
        report = CrashReport(
            suspect=call.suspect, process=identify(record), failure_domain=record.failure_domain
        )
        if self._register.add(report, trio.current_time()):
            notify(self._listeners)

    def record_survival(self, call: CallerCall) -> None:
        """Record that an endpoint has run a request for longer than a crash-causing one lasts.

        :param call: the request.
        """
        if self._register.add_survival(call.suspect, trio.current_time()):
            notify(self._listeners)

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes to report to the peers.

        :param now: monotonic time in seconds.
        """
        self._review(now)
        return self._register.list_reports(now)

    def list_survivals(self, now: float) -> tuple[SurvivalReport, ...]:
        """Return the survivals to report to the peers.

        :param now: monotonic time in seconds.
        """
        return self._register.list_survivals(now)

    def add_report(self, report: CrashReport, now: float) -> None:
        """Record a crash that a peer reports; a new one is reported to the other peers as well."""
        if self._register.add(report, now):
            notify(self._forward_listeners)

    def add_survival(self, report: SurvivalReport, now: float) -> None:
        """Record survivals that a peer reports; new ones are reported to the other peers as well"""
        if self._register.merge_survival(report, now):
            notify(self._forward_listeners)

    def _may_try(self, blame: Blame, call: CallerCall, now: float) -> bool:
        trial = self._trials.get(blame.key)
        if trial is not None and now < trial.ends_at and blame.last_at <= trial.started_at:
            return trial.request_id == call.request_id
        # One host decides for all, or each would try.
        if not blame.is_trial_due(now) or not self._is_responsible(blame.key):
            return False
        self._trials[blame.key] = CrashTrial(
            request_id=call.request_id, started_at=now, ends_at=call.deadline
        )
        log_blame("a request tries whether endpoints still crash on it", blame, now)
        return True

    def _review(self, now: float) -> None:
        refused, released = self._register.review(now)
        for blame in refused:
            log_blame("requests are refused because endpoints crash on them", blame, now)
        for blame in released:
            self._trials.pop(blame.key, None)
            log_blame("requests are no longer refused", blame, now)


def notify(listeners: list[Callable[[], None]]) -> None:
    """Call each of the listeners."""
    for listener in listeners:
        listener()


def identify(record: EndpointRecord) -> EndpointStart:
    """Return the process of an endpoint.

    :param record: the endpoint.
    """
    return EndpointStart(endpoint_id=record.endpoint_id, started_at=record.started_at)


def describe_key(key: CrashKey) -> str:
    """Return the kind and the digest of a cause, for the log.

    :param key: the cause.
    """
    return f"{key.kind.value} {key.digest.hex()}"


def log_blame(message: str, blame: Blame, now: float) -> None:
    """Write a cause with the evidence for and against it, and its age.

    :param message: what has changed.
    :param blame: the cause.
    :param now: monotonic time in seconds.
    """
    LOG.write(
        message,
        cause=describe_key(blame.key),
        crashes=blame.crashes,
        explained=blame.explained,
        requests=blame.requests,
        survivals=round(blame.survivals, 1),
        first_seconds_ago=round(now - blame.first_at, 3),
        last_seconds_ago=round(now - blame.last_at, 3),
    )
