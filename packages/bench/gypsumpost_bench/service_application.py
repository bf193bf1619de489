"""ASGI application of the stand-in service."""

import math
import os
import signal
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import orjson
import trio

from gypsumpost_bench.service_fault import ServiceFault
from gypsumpost_bench.service_fault_kind import ServiceFaultKind
from gypsumpost_bench.stand_in_http import (
    AsgiReceive,
    AsgiScope,
    AsgiSend,
    drop_connection,
    read_body,
    read_headers,
    send_json,
)
from gypsumpost_daemon.http.asgi_lifespan import complete_lifespan

CALL_ID_HEADER = "x-call-id"


def kill_own_process() -> None:
    """Kill this process with SIGKILL, as a crash."""
    os.kill(os.getpid(), signal.SIGKILL)


class ServiceApplication:
    """Runs calls and counts their executions by the header ``X-Call-Id``.

    :param name: name of this process, shown in each answer.
    :param end_process: called for the fault ``die``.
    :param execution_log: file to append the id of each executed call to, empty for none.
    """

    def __init__(
        self,
        *,
        name: str,
        end_process: Callable[[], None] = kill_own_process,
        execution_log: str = "",
    ) -> None:
        self.executions: Counter[str] = Counter()
        self.refusals = 0
        self.limit = ""
        self.leaving = False
        self.arrivals: list[float] = []
        self._name = name
        self._end_process = end_process
        self._execution_log = execution_log
        self._running = 0
        self._fault = ServiceFault(kind=ServiceFaultKind.NONE)

    async def __call__(self, scope: AsgiScope, receive: AsgiReceive, send: AsgiSend) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await complete_lifespan(receive, send)
            return
        body = await read_body(receive)
        if scope["path"] == "/faults":
            await send_json(send, 200, {})
            self.inject_fault(orjson.loads(body))
        elif scope["path"] == "/executions":
            await send_json(send, 200, {"executions": self.executions})
        elif scope["path"] == "/load":
            await send_json(send, 200, self._describe_load())
        else:
            await self._run_call(scope, body, send)

    def inject_fault(self, request: dict[str, Any]) -> None:
        """Inject a fault, which replaces the previous one.

        :param request: body of ``POST /faults``.
        """
        seconds = float(request.get("seconds", math.inf))
        self._fault = ServiceFault(
            kind=ServiceFaultKind(request["kind"]),
            until=trio.current_time() + seconds,
            delay=float(request.get("delay", 1.0)),
        )
        if self._fault.kind is ServiceFaultKind.DIE:
            self._end_process()
        if self._fault.kind is ServiceFaultKind.PAUSE:
            time.sleep(seconds)  # Blocks the whole process, as SIGSTOP does.

    def _describe_load(self) -> dict[str, Any]:
        draining = self._get_active_fault_kind() is ServiceFaultKind.DRAIN
        return {"running": self._running, "draining": draining}

    def _get_active_fault_kind(self) -> ServiceFaultKind:
        active = trio.current_time() < self._fault.until
        return self._fault.kind if active else ServiceFaultKind.NONE

    async def _run_call(self, scope: AsgiScope, body: bytes, send: AsgiSend) -> None:
        fault = self._get_active_fault_kind()
        self.arrivals.append(trio.current_time())
        if fault is ServiceFaultKind.DROP:
            await drop_connection(send)
            return
        if fault is ServiceFaultKind.REFUSE:
            self.refusals += 1
            await send_json(send, 503, {}, retry_after=self._fault.delay)
            return
        call_id = read_headers(scope).get(CALL_ID_HEADER, "")
        self._count_execution(call_id)
        self._running += 1
        try:
            if fault is ServiceFaultKind.SLOW:
                await trio.sleep(self._fault.delay)
            if fault is ServiceFaultKind.CLOSE:
                await drop_connection(send)
                return
            answer = self._describe_call(scope, call_id, len(body))
            await send_json(send, 200, answer, limit=self.limit, leaving=self.leaving)
        finally:
            self._running -= 1

    def _count_execution(self, call_id: str) -> None:
        self.executions[call_id] += 1
        if self._execution_log:
            with open(self._execution_log, "a") as file:
                file.write(call_id + "\n")

    def _describe_call(self, scope: AsgiScope, call_id: str, length: int) -> dict[str, Any]:
        return {
            "service": self._name,
            "path": scope["path"],
            "call_id": call_id,
            "execution": self.executions[call_id],
            "body_length": length,
        }
