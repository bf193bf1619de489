"""Detection of requests that crash the engines that run them."""

from collections import deque
from collections.abc import Iterable

import attrs

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.routing.run_table import RunTable
from gypsumpost_core.run_state import RunState
from gypsumpost_core.suspicion.engine_death import EngineDeath
from gypsumpost_core.suspicion.isolation import Isolation
from gypsumpost_core.suspicion.suspicion_decision import SuspicionDecision, SuspicionVerdict
from gypsumpost_core.suspicion.suspicion_register import SuspicionRegister
from gypsumpost_core.suspicion.suspicion_report import SuspicionReport
from gypsumpost_core.suspicion.suspicion_settings import SuspicionSettings


@attrs.define(kw_only=True)
class CrashSuspicion:
    """Counts engine deaths against the requests that were in flight at the time.

    A crash-causing request crashes an engine soon after each start. Therefore a death counts only
    against runs that started within the trigger window before it, and a run that finishes or lasts
    longer than this window clears the request. Deaths of several engines at once have a common
    cause and count against no request. A request with two deaths waits for the common cause window
    before it runs again, so its own deaths cannot look like a common cause.

    :param settings: settings of the crash suspicion.
    :param unix_offset: Unix time minus monotonic time in seconds; records shared between hosts use
        Unix time.
    :param slot_index: rank of this daemon among the live hosts of its domain, from 0.
    :param slot_count: number of live hosts of the domain.
    """

    settings: SuspicionSettings = attrs.field(factory=SuspicionSettings)
    unix_offset: float = 0.0
    slot_index: int = 0
    slot_count: int = 1
    _register: SuspicionRegister = attrs.field(init=False)
    _isolation: Isolation = attrs.field(init=False)
    _runs: RunTable = attrs.field(factory=RunTable)
    _deaths: deque[EngineDeath] = attrs.field(factory=lambda: deque(maxlen=64))

    def __attrs_post_init__(self) -> None:
        self._register = SuspicionRegister(settings=self.settings)
        self._isolation = Isolation(settings=self.settings)

    def decide(
        self, fingerprint: str, engines: Iterable[str], now: float, has_run: bool = False
    ) -> SuspicionDecision:
        """Decide how an attempt may run.

        :param fingerprint: digest of workspace, kind and body.
        :param engines: live engines of this daemon's domain that can run the request.
        :param now: monotonic time in seconds.
        :param has_run: true if an engine has already run this request for the same caller; sets the
            run state of a refusal.
        """
        self._clear_if_outlived(fingerprint, now)
        deaths = self._register.count_deaths(fingerprint, now + self.unix_offset)
        if not self._is_cause_known(fingerprint, deaths, now):
            return self._wait(now)
        if deaths >= self.settings.quarantine_deaths:
            return refuse_request(has_run)
        running = self._runs.list_engines(fingerprint)
        if deaths and running:
            return self._wait(now)
        if deaths >= self.settings.isolate_deaths:
            return self._isolate(fingerprint, engines, now)
        excluded = self._list_held(now)
        shared = sorted(running - excluded)
        engine = shared[0] if len(running) >= self.settings.concurrent_engines and shared else ""
        return SuspicionDecision(
            verdict=SuspicionVerdict.RUN_SHARED, excluded=excluded, engine=engine
        )

    def record_start(self, fingerprint: str, engine: str, now: float) -> None:
        """Record that an attempt was sent to an engine."""
        self._runs.add(fingerprint, engine, now)

    def record_end(
        self, fingerprint: str, engine: str, outcome: AttemptOutcome, now: float
    ) -> None:
        """Record the end of an attempt for a reason other than the engine's death.

        ``record_death`` must be called first if the attempt ended because its engine died.
        """
        started_at = self._runs.remove(fingerprint, engine)
        if started_at is None:
            return
        self._isolation.release(fingerprint)
        outlived = now - started_at > self.settings.trigger_window
        if outcome is AttemptOutcome.FINISHED or outlived:
            self._register.clear(fingerprint, now + self.unix_offset)

    def record_death(self, engine: str, boot_id: str, now: float) -> None:
        """Record the death of an engine process.

        :param engine: name of the engine.
        :param boot_id: boot id of the process that died.
        :param now: monotonic time in seconds.
        """
        unix_now = now + self.unix_offset
        death = EngineDeath(engine=engine, boot_id=boot_id, died_at=unix_now)
        for fingerprint, started_at in self._runs.remove_engine(engine).items():
            if now - started_at <= self.settings.trigger_window:
                self._register.add_death(fingerprint, death, unix_now)
            else:
                self._register.clear(fingerprint, unix_now)
        self._register.drop_attributed()
        self._isolation.release_engine(engine)
        self._deaths.append(death)
        self._discount_common_cause(unix_now)

    def list_reports(self, now: float) -> list[SuspicionReport]:
        """Return the reports to send to the other daemons of the domain, each once."""
        return self._register.list_reports(now + self.unix_offset)

    def apply_report(self, report: SuspicionReport, now: float) -> None:
        """Apply a report of another daemon."""
        self._register.apply_report(report, now + self.unix_offset)

    def expire(self, now: float) -> None:
        """Delete the records whose deadline has passed."""
        self._register.expire(now + self.unix_offset)

    def _is_cause_known(self, fingerprint: str, deaths: int, now: float) -> bool:
        # While a whole domain fails, a request may be sent to several dying engines in a row. Only
        # after the window is it known whether more engines died of the same cause.
        recent = self._register.count_recent_deaths(fingerprint, now + self.unix_offset)
        return recent == 0 or max(recent, deaths) < self.settings.isolate_deaths

    def _clear_if_outlived(self, fingerprint: str, now: float) -> None:
        started_at = self._runs.find_oldest_start(fingerprint)
        if started_at is not None and now - started_at > self.settings.trigger_window:
            self._register.clear(fingerprint, now + self.unix_offset)
            self._isolation.release(fingerprint)

    def _isolate(self, fingerprint: str, engines: Iterable[str], now: float) -> SuspicionDecision:
        unix_now = now + self.unix_offset
        held = self._register.list_held_elsewhere(unix_now)
        if self._register.is_held_elsewhere(fingerprint, unix_now):
            return self._wait(now)
        for held_engine in held:
            # Two daemons may have reserved the same engine; the first to start its run keeps it.
            self._isolation.release_engine(held_engine)
        usable = [engine for engine in engines if engine not in held]
        engine = self._isolation.reserve(fingerprint, usable, self._runs, now)
        if engine is None:
            return self._wait(now)
        start_at = self._find_start_time(unix_now) - self.unix_offset
        if start_at > now:
            return SuspicionDecision(verdict=SuspicionVerdict.WAIT, check_at=start_at)
        until = unix_now + self.settings.trigger_window
        self._register.hold_engine(fingerprint, engine, until, unix_now)
        return SuspicionDecision(verdict=SuspicionVerdict.RUN_ISOLATED, engine=engine)

    def _find_start_time(self, unix_now: float) -> float:
        # Daemons start isolated runs in turn, so that the report of a held engine reaches the
        # others before one of them starts its own run. Runs start only in the first half of a
        # time slot; the second half is left for the report to arrive.
        slot = self.settings.slot_time
        cycle = slot * self.slot_count
        position = (unix_now - self.slot_index * slot) % cycle
        if self.slot_count == 1 or position < slot / 2:
            return unix_now
        return unix_now + cycle - position

    def _list_held(self, now: float) -> frozenset[str]:
        held = self._register.list_held_elsewhere(now + self.unix_offset)
        return self._isolation.list_reserved(now) | held

    def _wait(self, now: float) -> SuspicionDecision:
        check_at = now + self.settings.check_interval
        return SuspicionDecision(verdict=SuspicionVerdict.WAIT, check_at=check_at)

    def _discount_common_cause(self, unix_now: float) -> None:
        oldest = unix_now - self.settings.common_cause_window
        recent = {death.get_key() for death in self._deaths if death.died_at >= oldest}
        self._register.discount(recent, unix_now)


def refuse_request(has_run: bool) -> SuspicionDecision:
    """Return the decision that a request must not run, as engines crash on it.

    :param has_run: true if an engine has already run it for the same caller.
    """
    failure = Failure(
        status=422,
        code="request_quarantined",
        message="Engines crashed each time this request ran; it is refused for now.",
        run_state=RunState.RUN if has_run else RunState.NOT_RUN,
    )
    return SuspicionDecision(verdict=SuspicionVerdict.QUARANTINED, failure=failure)
