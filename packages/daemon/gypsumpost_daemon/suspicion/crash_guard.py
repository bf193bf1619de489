"""Applies the detection of crash-causing requests to the attempts of this daemon."""

from collections.abc import Callable
from itertools import islice
from typing import Any

import attrs
import trio
from result import Ok

from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.run_progress import RunProgress
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.routing.router import Router
from gypsumpost_core.suspicion.crash_suspicion import CrashSuspicion, refuse_request
from gypsumpost_core.suspicion.suspicion_decision import SuspicionDecision, SuspicionVerdict
from gypsumpost_daemon.crashes.crash_causes import CrashCauses
from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="engine")

CONFIRM_SECONDS = 0.3
"""Time limit for finding out whether an engine has died.

The caller of an interrupted generation waits for the result, too.
"""

CONFIRM_RETRY_SECONDS = 0.02
"""Seconds before the call is retried after its connection was lost."""

PROBES_PER_ROUND = 4
"""Number of dead engines that are probed in each round, to detect their return."""


@attrs.define(kw_only=True, eq=False)
class DeathCheck:
    """A check of an engine, which several generations can wait for.

    :param completed: true if the check has completed; still false after it was cancelled.
    :param ended: set when the check has completed or was cancelled.
    """

    completed: bool = False
    ended: trio.Event = attrs.field(factory=trio.Event)


def ignore_change() -> None:
    """Do nothing; the default for ``handle_change``."""


@attrs.define(kw_only=True)
class CrashGuard:
    """Decides how attempts may run and records the deaths of engines.

    :param suspicion: makes the decisions from the recorded deaths.
    :param router: provides the live engines and their boot ids.
    :param engines: client for the calls that confirm a death.
    :param causes: the parts of prompts, and requests, on which engines crash.
    :param handle_change: called when there may be new reports for other daemons.
    """

    suspicion: CrashSuspicion
    router: Router
    engines: EngineClient
    causes: CrashCauses
    handle_change: Callable[[], None] = ignore_change
    _checks: dict[str, DeathCheck] = attrs.field(factory=dict, init=False)
    _dead: dict[str, str] = attrs.field(factory=dict, init=False)
    _recorded_deaths: dict[str, str] = attrs.field(factory=dict, init=False)

    def decide(
        self, route: RouteRequest, has_run: bool, now: float, deadline: float
    ) -> SuspicionDecision:
        """Decide how an attempt may run.

        :param route: the attempt.
        :param has_run: true if an attempt of the request was sent before.
        :param now: monotonic time in seconds.
        :param deadline: monotonic time in seconds at which the request ends at the latest.
        """
        if self.causes.find(route.suspect, route.fingerprint, now, deadline) is not None:
            return refuse_request(has_run)
        dead = self.list_dead()
        engines = [
            name for name in self.router.list_isolation_candidates(route, now) if name not in dead
        ]
        decision = self.suspicion.decide(route.fingerprint, engines, now, has_run)
        if decision.verdict is SuspicionVerdict.RUN_ISOLATED:
            self.handle_change()
        return decision

    def list_dead(self) -> frozenset[str]:
        """Return the engines that have died and have not reported a new boot id since."""
        if not self._dead:
            return frozenset()
        for name, boot_id in list(self._dead.items()):
            if self.router.get_boot_id(name) != boot_id:
                del self._dead[name]
        return frozenset(self._dead)

    def list_probe_targets(self) -> list[str]:
        """Return up to ``PROBES_PER_ROUND`` dead engines to probe, in turn."""
        dead = self.list_dead()
        names = list(islice(self._dead, PROBES_PER_ROUND)) if dead else []
        for name in names:
            self._dead[name] = self._dead.pop(name)
        return names

    def record_start(self, fingerprint: str, engine: str, now: float) -> str:
        """Record that an attempt is sent to an engine; return the engine's boot id."""
        self.suspicion.record_start(fingerprint, engine, now)
        return self.router.get_boot_id(engine) or ""

    def record_end(
        self, fingerprint: str, engine: str, outcome: AttemptOutcome, now: float
    ) -> None:
        """Record the end of an attempt.

        If the attempt was lost, ``confirm_death`` must have been called before.
        """
        self.suspicion.record_end(fingerprint, engine, outcome, now)

    def record_crash(
        self, route: RouteRequest, engine: Endpoint, boot_id: str, progress: RunProgress
    ) -> None:
        """Record that an attempt was lost; it counts if its engine has died.

        :param route: the attempt.
        :param engine: its engine.
        :param boot_id: boot id of the process that served it.
        :param progress: how far the attempt had come.
        """
        if self._recorded_deaths.get(engine.name) != boot_id or progress.survived:
            return
        LOG.write(
            "died while it had a request",
            endpoint=engine.name,
            fingerprint=route.fingerprint,
            stage=progress.stage,
            sent_seconds=round(progress.sent_seconds, 3),
            parts=len(route.suspect.parts),
        )
        report = CrashReport(
            suspect=route.suspect,
            # Boot ids are text, and no two processes have the same.
            process=EndpointStart(endpoint_id=f"{engine.name}/{boot_id}", started_at=0),
            failure_domain=engine.failure_domain,
        )
        if self.causes.register.add(report, trio.current_time()):
            self.handle_change()

    def record_survival(self, route: RouteRequest) -> None:
        """Record that an engine has run an attempt for longer than a crash-causing one lasts.

        :param route: the attempt.
        """
        if self.causes.register.add_survival(route.suspect, trio.current_time()):
            self.handle_change()

    async def confirm_death(self, engine: str, address: str, boot_id: str) -> None:
        """Check whether an engine whose stream was lost has died, and record its death.

        A lost connection alone is no proof. The engine has died if nothing listens at its address
        or if it has restarted with another boot id.

        :param engine: name of the engine.
        :param address: address of the engine.
        :param boot_id: boot id of the process that served the stream, empty if not known.
        """
        while self._recorded_deaths.get(engine) != boot_id or engine in self._checks:
            check = self._checks.get(engine)
            if check is None:
                await self._run_check(engine, address, boot_id)
                return
            await check.ended.wait()
            if check.completed:
                return

    async def _run_check(self, engine: str, address: str, boot_id: str) -> None:
        check = self._checks[engine] = DeathCheck()
        try:
            if await self._has_died(engine, address, boot_id):
                self._record_death(engine, boot_id)
            check.completed = True
        finally:
            del self._checks[engine]
            check.ended.set()

    async def _has_died(self, engine: str, address: str, boot_id: str) -> bool:
        current = self.router.get_boot_id(engine)
        if current and boot_id and current != boot_id:
            return True
        deadline = trio.current_time() + CONFIRM_SECONDS
        while True:
            outcome = await self.engines.get_json(address, "/load", deadline)
            if isinstance(outcome, Ok):
                return _shows_restart(outcome.ok_value, boot_id)
            if outcome.err_value.refused:
                return True
            # A dying process may reset its streams before it closes its listener; the connection of
            # this call is then accepted and reset, too.
            if trio.current_time() + CONFIRM_RETRY_SECONDS >= deadline:
                return False
            await trio.sleep(CONFIRM_RETRY_SECONDS)

    def _record_death(self, engine: str, boot_id: str) -> None:
        LOG.write("died", endpoint=engine, boot_id=boot_id)
        self._dead[engine] = self._recorded_deaths[engine] = boot_id
        self.suspicion.record_death(engine, boot_id, trio.current_time())
        self.handle_change()


def _shows_restart(report: Any, boot_id: str) -> bool:
    reported = report.get("boot_id") if isinstance(report, dict) else None
    return bool(boot_id and reported) and reported != boot_id
