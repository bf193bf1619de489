"""The callers' HTTP interface as an ASGI application."""

import math
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import orjson
import trio
from result import Err, Ok, Result

from gypsumpost_core.completion_check import check_completion
from gypsumpost_core.completion_request import CompletionRequest
from gypsumpost_core.event_id import EventId, parse_event_id
from gypsumpost_core.failure import Failure
from gypsumpost_core.generation_kind import GenerationKind
from gypsumpost_core.generation_record import GenerationRecord
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.access_control import AccessControl
from gypsumpost_daemon.admission_gate import AdmissionGate
from gypsumpost_daemon.asgi_application import Receive, Scope, Send
from gypsumpost_daemon.caller_events import CallerEvents
from gypsumpost_daemon.caller_request import CallerRequest
from gypsumpost_daemon.caller_response import CallerResponse
from gypsumpost_daemon.error_body import encode_failure
from gypsumpost_daemon.generation_responder import GenerationResponder
from gypsumpost_daemon.generation_supervisor import GenerationSupervisor, create_generation_id
from gypsumpost_daemon.generation_task import GenerationTask
from gypsumpost_daemon.http_call import HttpCall
from gypsumpost_daemon.key_client import KeyClient
from gypsumpost_daemon.keyed_refusal import describe_keyed_refusal
from gypsumpost_daemon.metrics import Metrics
from gypsumpost_daemon.metrics_text import create_metrics_response
from gypsumpost_daemon.settings import Settings

KINDS = {
    "/v1/completions": GenerationKind.COMPLETION,
    "/v1/chat/completions": GenerationKind.CHAT,
}
MAX_KEY_CHARACTERS = 200
HOLD_AFTER_DEADLINE = 120.0
"""Seconds after the request's deadline for which the state of an unfinished answer is kept."""

NEVER_RUN = RunState.NOT_RUN


@attrs.define(kw_only=True)
class CallerApplication:
    """Routes callers' requests.

    :param settings: settings of the daemon.
    :param supervisor: runs generations.
    :param keys: finds generations by idempotency key.
    :param access: checks bearer keys and allowances.
    :param admission: holds new generations back while the engines are busy.
    :param list_models: returns the names of the models that engines run now.
    :param metrics: metrics of the daemon, shown at ``/metrics``.
    :param handle_service: answers requests below ``/v1/services/``.
    """

    settings: Settings
    supervisor: GenerationSupervisor
    keys: KeyClient
    access: AccessControl
    admission: AdmissionGate
    list_models: Callable[[], list[str]]
    metrics: Metrics
    handle_service: Callable[[CallerRequest], Awaitable[CallerResponse]] | None = None
    draining: bool = attrs.field(default=False, init=False)
    open_requests: int = attrs.field(default=0, init=False)
    _events: CallerEvents = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._events = CallerEvents(metrics=self.metrics)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await _complete_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        call = HttpCall(scope=scope, receive=receive, send=send, request_id="")
        call.request_id = call.headers.get("x-request-id", "")[:64] or create_generation_id()
        self.open_requests += 1
        try:
            failure = await self._route(call)
            if failure is not None:
                self._events.record_refusal(call.request_id, failure)
                await call.respond(encode_failure(failure))
        finally:
            self.open_requests -= 1

    async def _route(self, call: HttpCall) -> Failure | None:
        path = call.scope["path"]
        if path in ("/live", "/ready"):
            return await self._report_health(call, path)
        if path == "/metrics":
            await call.respond(create_metrics_response(self.metrics))
            return None
        authenticated = self._authenticate(call)
        if isinstance(authenticated, Err):
            return describe_keyed_refusal(call, authenticated.err_value)
        workspace = authenticated.ok_value
        body = await call.read_body(self.settings.max_body)
        if body is None:
            limit = self.settings.max_body
            return _refuse(413, "body_too_long", f"The body is longer than {limit} bytes.")
        method = call.scope["method"]
        if path in KINDS and method == "POST":
            return await self._create_generation(call, workspace, body, KINDS[path])
        if path.startswith("/v1/generations/") and method in ("GET", "DELETE"):
            return await self._serve_generation(call, workspace, path.rsplit("/", 1)[1])
        if path == "/v1/models" and method == "GET":
            await self._list_models(call, workspace)
            return None
        if path.startswith("/v1/services/") and self.handle_service is not None:
            return await self._serve_service(call, workspace, body)
        return _refuse(404, "not_found", f"There is no {method} {path}.")

    def _authenticate(self, call: HttpCall) -> Result[str, Failure]:
        scheme, _, key = call.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return Err(_refuse(401, "invalid_api_key", "The bearer key is missing."))
        return self.access.find_workspace(key.strip())

    async def _report_health(self, call: HttpCall, path: str) -> Failure | None:
        if path == "/ready" and self.draining:
            return _refuse(503, "stopping", "The daemon is stopping.")
        await call.respond(_encode_json({"status": "ok"}))
        return None

    async def _serve_service(self, call: HttpCall, workspace: str, body: bytes) -> Failure | None:
        assert self.handle_service is not None
        service = call.scope["path"].split("/")[3]
        admitted = await self.access.admit(workspace, service)
        if isinstance(admitted, Err):
            return describe_keyed_refusal(call, admitted.err_value)
        answer = await self.handle_service(self._describe_call(call, workspace, body))
        self._events.record_service_call(call.request_id, answer.status)
        await call.respond(answer)
        return None

    async def _list_models(self, call: HttpCall, workspace: str) -> None:
        allowance = self.access.find_allowance(workspace)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "gypsumpost"}
            for name in self.list_models()
            if allowance is None or name in allowance.models
        ]
        await call.respond(_encode_json({"object": "list", "data": models}))

    async def _create_generation(
        self, call: HttpCall, workspace: str, body: bytes, kind: GenerationKind
    ) -> Failure | None:
        checked = _check_body(body, kind)
        if isinstance(checked, Err):
            return checked.err_value
        request = checked.ok_value
        created = self._create_record(call, workspace, body, request)
        if isinstance(created, Err):
            return created.err_value
        record = created.ok_value
        found = await self._find_repeat(call, record)
        if isinstance(found, Err):
            return found.err_value
        task, offset = found.ok_value
        if task is None:
            refusal = self._refuse_new(request)
            if refusal is not None:
                return refusal
            admitted = await self._admit(record)
            if isinstance(admitted, Err):
                return admitted.err_value
            task = self.supervisor.start(record, counted=True)
            await self.keys.register(task.record, task.holders)
        return await self._respond(call, task, offset, request)

    async def _respond(
        self, call: HttpCall, task: GenerationTask, offset: int, request: CompletionRequest
    ) -> Failure | None:
        responder = GenerationResponder(supervisor=self.supervisor, events=self._events)
        await responder.respond(call, task, offset, request.stream, request.include_usage)
        return None

    async def _admit(self, record: GenerationRecord) -> Result[None, Failure]:
        allowed = await self.access.admit(record.workspace, record.model)
        if isinstance(allowed, Err):
            return allowed
        # Counted at once, so that no other request takes its place while it waits for an engine.
        self.access.start_generation(record)
        admitted = await self.admission.admit(self.admission.describe(record), record.model)
        if isinstance(admitted, Err):
            self.access.finish_generation(record)
        return admitted

    def _refuse_new(self, request: CompletionRequest) -> Failure | None:
        if self.draining:
            return _refuse(503, "stopping", "The daemon is stopping; ask another one.")
        if request.model not in self.list_models():
            return _refuse(404, "model_not_found", f"There is no model {request.model!r}.")
        return None

    def _create_record(
        self, call: HttpCall, workspace: str, body: bytes, request: CompletionRequest
    ) -> Result[GenerationRecord, Failure]:
        now = time.time()
        deadline = _read_deadline(call, now + self.settings.request_deadline)
        if deadline is None:
            return Err(_refuse(400, "invalid_deadline", "X-Request-Deadline must be Unix seconds."))
        allowance = self.access.find_allowance(workspace)
        if allowance is not None:
            deadline = min(deadline, now + allowance.deadline_seconds)
        if deadline <= now:
            return Err(_refuse(408, "deadline_exceeded", "The request's deadline has passed."))
        key = call.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARACTERS:
            message = f"Idempotency-Key is over {MAX_KEY_CHARACTERS} characters."
            return Err(_refuse(400, "invalid_idempotency_key", message))
        priority = _read_priority(call)
        if priority is None:
            return Err(_refuse(400, "invalid_priority", "X-Request-Priority must be -100 to 100."))
        if allowance is not None:
            priority = min(priority or allowance.priority, allowance.priority)
        return Ok(
            GenerationRecord(
                generation_id=create_generation_id(),
                workspace=workspace,
                request_id=call.request_id,
                idempotency_key=key,
                kind=request.kind,
                body=body,
                model=request.model,
                max_tokens=request.max_tokens,
                stop=request.stop,
                return_token_ids=request.return_token_ids,
                stream=request.stream,
                priority=priority,
                created_at=now,
                deadline=deadline,
                keep_until=deadline + HOLD_AFTER_DEADLINE,
            )
        )

    async def _find_repeat(
        self, call: HttpCall, record: GenerationRecord
    ) -> Result[tuple[GenerationTask | None, int], Failure]:
        """Find the generation that a repeated request belongs to, and the caller's offset."""
        last_event = call.headers.get("last-event-id", "")
        if last_event:
            return await self._resume_post(last_event, record)
        if not record.idempotency_key:
            return Ok((None, 0))
        known = await self.keys.find(record)
        if isinstance(known, Err):
            return known
        if known.ok_value is None:
            return Ok((None, 0))
        return Ok((await self.supervisor.recover(known.ok_value, record.workspace), 0))

    async def _resume_post(
        self, last_event: str, record: GenerationRecord
    ) -> Result[tuple[GenerationTask, int], Failure]:
        event_id = parse_event_id(last_event)
        if event_id is None:
            return Err(_refuse(400, "invalid_event_id", "Last-Event-ID is not an event id."))
        found = await self._resume(event_id, record.workspace)
        if isinstance(found, Ok) and found.ok_value[0].record.body != record.body:
            return Err(_refuse(422, "invalid_event_id", "Last-Event-ID is of another request."))
        return found

    async def _resume(
        self, event_id: EventId, workspace: str
    ) -> Result[tuple[GenerationTask, int], Failure]:
        task = await self._recover(event_id, workspace)
        if task is None:
            return Err(_lose("There is no such generation, or its state is lost."))
        if not task.record.continues(event_id.attempt, event_id.offset):
            return Err(_lose("The answer went on differently elsewhere."))
        if event_id.offset > task.record.length and not task.generation.finished:
            # The tokens may still be in the engine's live stream; a new attempt would differ.
            task.require_length(event_id.offset)
        elif not task.generation.has_boundary(event_id.offset):
            return Err(_refuse(400, "invalid_event_id", "Last-Event-ID is not of this answer."))
        return Ok((task, event_id.offset))

    async def _recover(self, event_id: EventId, workspace: str) -> GenerationTask | None:
        task = await self.supervisor.recover(event_id, workspace)
        if task is not None:
            await self.keys.register(task.record, task.holders)
        return task

    async def _serve_generation(self, call: HttpCall, workspace: str, text: str) -> Failure | None:
        last_event = call.headers.get("last-event-id", "")
        event_id = parse_event_id(last_event or text)
        if event_id is None and not last_event:
            event_id = self.supervisor.describe_unplaced(text)
        if event_id is None or event_id.generation_id != text.partition(".")[0]:
            return _refuse(400, "invalid_event_id", "Last-Event-ID is not of this generation.")
        found = await self._resume(event_id, workspace)
        if isinstance(found, Err):
            return found.err_value
        task, offset = found.ok_value
        if call.scope["method"] == "DELETE":
            self.supervisor.cancel(task, CANCELLED)
            await call.respond(CallerResponse(status=204))
            return None
        responder = GenerationResponder(supervisor=self.supervisor, events=self._events)
        await responder.respond(call, task, offset, task.record.stream or bool(last_event), False)
        return None

    def _describe_call(self, call: HttpCall, workspace: str, body: bytes) -> CallerRequest:
        remaining = (_read_deadline(call, 0.0) or 0.0) - time.time()
        seconds = remaining if remaining > 0 else self.settings.call_deadline
        return CallerRequest(
            method=call.scope["method"],
            path=call.scope["path"],
            query=call.scope["query_string"].decode("latin-1"),
            headers=call.headers,
            body=body,
            workspace=workspace,
            request_id=call.request_id,
            deadline=trio.current_time() + seconds,
        )


CANCELLED = Failure(
    status=410,
    code="cancelled",
    message="The caller cancelled the generation.",
    run_state=RunState.RUN,
)


def _refuse(status: int, code: str, message: str) -> Failure:
    return Failure(status=status, code=code, message=message, run_state=NEVER_RUN)


def _lose(message: str) -> Failure:
    return Failure(
        status=404, code="generation_not_found", message=message, run_state=RunState.UNKNOWN
    )


def _check_body(body: bytes, kind: GenerationKind) -> Result[CompletionRequest, Failure]:
    try:
        decoded: Any = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Err(_refuse(400, "invalid_json", f"The body is not JSON: {error}."))
    return check_completion(decoded, kind)


def _encode_json(value: Any) -> CallerResponse:
    headers = {"content-type": "application/json"}
    return CallerResponse(status=200, headers=headers, body=orjson.dumps(value))


def _read_deadline(call: HttpCall, default: float) -> float | None:
    text = call.headers.get("x-request-deadline", "")
    try:
        deadline = float(text) if text else default
    except ValueError:
        return None
    return deadline if math.isfinite(deadline) else None


def _read_priority(call: HttpCall) -> int | None:
    text = call.headers.get("x-request-priority", "0")
    try:
        value = int(text)
    except ValueError:
        return None
    return value if -100 <= value <= 100 else None


async def _complete_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
