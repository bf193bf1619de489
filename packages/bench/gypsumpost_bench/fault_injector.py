"""Injects the planned faults of a soak run."""

import json
import signal
from typing import Any

import attrs
import httpcore
import orjson
import trio

from gypsumpost_bench.caller_kind import CallerKind
from gypsumpost_bench.deployment import Deployment, wait_until_serving
from gypsumpost_bench.fault_event import FaultEvent
from gypsumpost_bench.fault_kind import FaultKind
from gypsumpost_bench.fault_plan import PlannedFault
from gypsumpost_bench.history import History
from gypsumpost_bench.process_event import ProcessEvent
from gypsumpost_bench.running_process import RunningProcess
from gypsumpost_bench.soak_callers import SoakCallers

STOP_SECONDS = 60.0
"""A daemon that has not exited this long after a planned stop is killed."""

SIGNAL_SERIES = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
SIGNAL_GAP_SECONDS = 0.2

READY_PATHS = {"engine": "/load", "service": "/load", "daemon": "/ready"}


@attrs.define(kw_only=True)
class FaultInjector:
    """Injects faults into a deployment and restores the targets.

    :param deployment: the processes.
    :param history: records the faults and the ends of processes.
    :param callers: sends the requests that crash engines.
    """

    deployment: Deployment
    history: History
    callers: SoakCallers
    _handled: set[str] = attrs.field(factory=set, init=False)

    async def run(self, plan: list[PlannedFault], started_at: float) -> None:
        """Inject all faults and return when all targets are restored.

        :param plan: faults in order of time.
        :param started_at: monotonic time in seconds at which the plan begins.
        """
        async with trio.open_nursery() as nursery:
            for fault in plan:
                await trio.sleep_until(started_at + fault.at)
                nursery.start_soon(self._inject, fault)

    async def watch_processes(self) -> None:
        """Restart processes that exit on their own, until cancelled."""
        components = {"engine": self.deployment.engines, "service": self.deployment.services}
        components["daemon"] = self.deployment.daemons
        async with trio.open_nursery() as nursery:
            while True:
                for component, processes in components.items():
                    for running in processes.values():
                        if running.name not in self._handled and running.process.poll() is not None:
                            self._handled.add(running.name)
                            nursery.start_soon(self._restart_ended, component, running)
                await trio.sleep(0.1)

    async def stop_daemons(self) -> None:
        """Stop all daemons with SIGTERM and record how they exit."""
        async with trio.open_nursery() as nursery:
            for running in self.deployment.daemons.values():
                self._handled.add(running.name)
                nursery.start_soon(self._stop, running)

    async def _restart_ended(self, component: str, running: RunningProcess) -> None:
        started_at = trio.current_time()
        self._record_end(running, killed=False)
        await self._restart_until_serving(component, running)
        self._handled.discard(running.name)
        if component == "engine":
            self._record(FaultKind.ENGINE_CRASH, running.name, started_at)

    async def _restart_until_serving(self, component: str, running: RunningProcess) -> None:
        """Restart a process until it serves; a request may crash it before that."""
        while True:
            self.deployment.restart(running)
            try:
                await wait_until_serving(running, READY_PATHS[component])
                return
            except RuntimeError:
                self._record_end(running, killed=False)

    async def _inject(self, fault: PlannedFault) -> None:
        started_at = trio.current_time()
        component, action = fault.kind.component, fault.kind.action
        if component == "request":
            await self.callers.request_answer(CallerKind.CRASH)
        elif component == "store":
            await self._inject_store_fault(fault)
        elif fault.kind is FaultKind.ENGINE_LEAVE:
            await self._set_leaving(fault)
        elif action in ("kill", "pause", "stop", "signals"):
            await self._signal_process(fault)
        elif component == "engine":
            await self._inject_engine_fault(fault)
        else:
            request = {"kind": action, "seconds": fault.seconds, "delay": 1.0}
            await send_fault(self.deployment.services[fault.target].address, request)
            await trio.sleep(fault.seconds)
        self._record(fault.kind, fault.target, started_at)

    async def _signal_process(self, fault: PlannedFault) -> None:
        component = fault.kind.component
        processes = {
            "engine": self.deployment.engines,
            "service": self.deployment.services,
            "daemon": self.deployment.daemons,
        }
        running = processes[component][fault.target]
        if running.name in self._handled:
            return  # It exited on its own and is being restarted.
        self._handled.add(running.name)
        try:
            if fault.kind.action == "pause":
                running.pause()
                await trio.sleep(fault.seconds)
                running.resume()
                return
            if fault.kind.action == "stop":
                await self._stop(running)
            elif fault.kind.action == "signals":
                await self._stop_with_reloads(running)
            else:
                running.kill()
                self._record_end(running, killed=True)
            await trio.sleep(fault.seconds)
            async with trio.open_nursery() as nursery:
                if fault.kind.action == "signals":
                    nursery.start_soon(self._reload_starting, running, running.incarnation + 1)
                await self._restart_until_serving(component, running)
        finally:
            self._handled.discard(running.name)

    async def _stop(self, running: RunningProcess) -> None:
        running.stop()
        with trio.move_on_after(STOP_SECONDS):
            while running.process.poll() is None:
                await trio.sleep(0.05)
        killed = running.process.poll() is None
        if killed:
            running.kill()
        self._record_end(running, killed=False)

    async def _stop_with_reloads(self, running: RunningProcess) -> None:
        """Stop a process while reloads and further stop signals arrive."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stop, running)
            for number in SIGNAL_SERIES:
                running.send_signal(number)
                await trio.sleep(SIGNAL_GAP_SECONDS)

    async def _reload_starting(self, running: RunningProcess, incarnation: int) -> None:
        """Send a reload to a process that starts, as soon as it handles signals."""
        with trio.move_on_after(STOP_SECONDS):
            while running.incarnation < incarnation or not running.has_handler(signal.SIGHUP):
                await trio.sleep(0.005)
            running.send_signal(signal.SIGHUP)

    async def _inject_engine_fault(self, fault: PlannedFault) -> None:
        address = self.deployment.engines[fault.target].address
        action = fault.kind.action
        await send_fault(address, {"kind": action, "on": True, "factor": 8.0})
        await trio.sleep(fault.seconds)
        await send_fault(address, {"kind": action, "on": False, "factor": 1.0, "end": True})

    async def _inject_store_fault(self, fault: PlannedFault) -> None:
        assert self.deployment.platform is not None
        request = {"kind": fault.kind.action, "seconds": fault.seconds, "delay": 0.5}
        await send_fault(self.deployment.platform.address, request | {"domain": fault.target})
        await trio.sleep(fault.seconds)

    async def _set_leaving(self, fault: PlannedFault) -> None:
        self._set_status(fault.target, "leaving")
        await trio.sleep(fault.seconds)
        self._set_status(fault.target, "live")

    def _set_status(self, name: str, status: str) -> None:
        path = self.deployment.directory / "hosts.json"
        content = json.loads(path.read_text())
        for endpoint in content["endpoints"]:
            if endpoint["name"] == name:
                endpoint["status"] = status
        path.write_text(json.dumps(content))

    def _record(self, kind: FaultKind, target: str, started_at: float) -> None:
        self.history.faults.append(
            FaultEvent(
                kind=kind, target=target, started_at=started_at, ended_at=trio.current_time()
            )
        )

    def _record_end(self, running: RunningProcess, killed: bool) -> None:
        output = self.deployment.get_output_path(running).read_text(errors="replace")
        self.history.ends.append(
            ProcessEvent(
                name=running.name,
                incarnation=running.incarnation,
                at=trio.current_time(),
                status=running.process.returncode,
                killed=killed,
                output=output,
                last_message=self._read_last_message(running),
            )
        )

    def _read_last_message(self, running: RunningProcess) -> str:
        path = self.deployment.directory / f"{running.name}.log"
        lines = path.read_bytes().splitlines() if path.exists() else []
        return str(orjson.loads(lines[-1])["message"]) if lines else ""


async def send_fault(address: str, request: dict[str, Any]) -> None:
    """Inject a fault into a stand-in; a lost connection or no answer within 3 s is ignored.

    :param address: ``ip:port`` of the stand-in.
    :param request: body of ``POST /faults``.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            with trio.fail_after(3):
                await pool.request(
                    "POST", f"http://{address}/faults", content=orjson.dumps(request)
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            pass
