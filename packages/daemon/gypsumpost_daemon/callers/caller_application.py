"""The callers' HTTP interface as an ASGI application."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import orjson
import trio
from result import Err, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.completion_check import check_completion
from gypsumpost_core.generations.completion_request import CompletionRequest
from gypsumpost_core.generations.event_id import parse_event_id
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.memory.json_cost import estimate_parsed
from gypsumpost_daemon.callers.access_control import AccessControl
from gypsumpost_daemon.callers.call_headers import read_deadline
from gypsumpost_daemon.callers.caller_events import CallerEvents
from gypsumpost_daemon.callers.caller_refusals import CANCELLED, refuse_request
from gypsumpost_daemon.callers.caller_request import CallerRequest
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.callers.error_body import encode_failure
from gypsumpost_daemon.calls.keyed_refusal import describe_keyed_refusal
from gypsumpost_daemon.generations.generation_finder import GenerationFinder
from gypsumpost_daemon.generations.generation_responder import GenerationResponder
from gypsumpost_daemon.generations.generation_supervisor import (
    GenerationSupervisor,
    create_generation_id,
)
from gypsumpost_daemon.generations.generation_task import GenerationTask
from gypsumpost_daemon.generations.idempotency_key_client import IdempotencyKeyClient
from gypsumpost_daemon.generations.record_factory import RecordFactory
from gypsumpost_daemon.http.asgi_application import Receive, Scope, Send
from gypsumpost_daemon.http.asgi_lifespan import complete_lifespan
from gypsumpost_daemon.http.http_call import HttpCall
from gypsumpost_daemon.http.http_refusal import OVERLOAD_RETRY_SECONDS
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.limits.admission_gate import AdmissionGate
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.telemetry.metrics import Metrics
from gypsumpost_daemon.telemetry.metrics_text import create_metrics_response

KINDS = {
    "/v1/completions": GenerationKind.COMPLETION,
    "/v1/chat/completions": GenerationKind.CHAT,
}


@attrs.define(kw_only=True)
class CallerApplication:
    """Authenticates and routes callers' requests.

    :param settings: settings of the daemon.
    :param supervisor: runs generations.
    :param keys: finds generations by idempotency key.
    :param access: checks bearer keys and enforces allowances.
    :param admission: queues or refuses new generations while the engines are busy.
    :param list_models: returns the names of the models that are currently loaded on engines.
    :param metrics: metrics of the daemon, served at ``/metrics``.
    :param guard: bounds the memory of parsed bodies.
    :param handle_service: handles requests below ``/v1/services/``, ``None`` if there are none.
    """

    settings: Settings
    supervisor: GenerationSupervisor
    keys: IdempotencyKeyClient
    access: AccessControl
    admission: AdmissionGate
    list_models: Callable[[], list[str]]
    metrics: Metrics
    handle_service: Callable[[CallerRequest], Awaitable[CallerResponse]] | None = None
    guard: OverloadGuard = attrs.field(factory=OverloadGuard)
    draining: bool = attrs.field(default=False, init=False)
    open_requests: int = attrs.field(default=0, init=False)
    _events: CallerEvents = attrs.field(init=False)
    _records: RecordFactory = attrs.field(init=False)
    _finder: GenerationFinder = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._events = CallerEvents(metrics=self.metrics)
        self._records = RecordFactory(settings=self.settings, access=self.access)
        self._finder = GenerationFinder(supervisor=self.supervisor, keys=self.keys)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await complete_lifespan(receive, send)
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
        method = call.scope["method"]
        if not self._serves_path(path):
            # The body of a request that is refused anyway is not read.
            return refuse_request(404, "not_found", f"There is no {method} {path}.")
        body = await call.read_body(self.settings.max_body)
        if body is None:
            limit = self.settings.max_body
            return refuse_request(413, "body_too_long", f"The body is longer than {limit} bytes.")
        if path in KINDS and method == "POST":
            return await self._create_generation(call, workspace, body, KINDS[path])
        if path.startswith("/v1/generations/") and method in ("GET", "DELETE"):
            return await self._serve_generation(call, workspace, path.rsplit("/", 1)[1])
        if path == "/v1/models" and method == "GET":
            await self._list_models(call, workspace)
            return None
        if path.startswith("/v1/services/") and self.handle_service is not None:
            return await self._serve_service(call, workspace, body)
        return refuse_request(404, "not_found", f"There is no {method} {path}.")

    def _serves_path(self, path: str) -> bool:
        if path.startswith("/v1/services/"):
            return self.handle_service is not None
        return path in KINDS or path == "/v1/models" or path.startswith("/v1/generations/")

    def _authenticate(self, call: HttpCall) -> Result[str, Failure]:
        scheme, _, key = call.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return Err(refuse_request(401, "invalid_api_key", "The bearer key is missing."))
        return self.access.find_workspace(key.strip())

    async def _report_health(self, call: HttpCall, path: str) -> Failure | None:
        if path == "/ready" and self.draining:
            return refuse_request(503, "stopping", "The daemon is stopping.")
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
        with self.guard.count_parsed(estimate_parsed(body)) as has_room:
            if not has_room:
                refusal = refuse_request(
                    503, "overloaded", "The host has no memory for this body now."
                )
                return attrs.evolve(refusal, retry_at=time.time() + OVERLOAD_RETRY_SECONDS)
            checked = _check_body(body, kind)
            if isinstance(checked, Err):
                return checked.err_value
            return await self._run_generation(call, workspace, body, checked.ok_value)

    async def _run_generation(
        self, call: HttpCall, workspace: str, body: bytes, request: CompletionRequest
    ) -> Failure | None:
        created = self._records.create(call, workspace, body, request)
        if isinstance(created, Err):
            return created.err_value
        record = created.ok_value
        existing = await self._finder.find_retried(call, record)
        if isinstance(existing, Err):
            return existing.err_value
        task, offset = existing.ok_value
        if task is None:
            refusal = self._refuse_new(request)
            if refusal is not None:
                return refusal
            admitted = await self._admit(record)
            if isinstance(admitted, Err):
                return admitted.err_value
            task = self.supervisor.start(record, already_counted=True)
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
        # Counted before waiting for an engine, so that no other request can use the slot meanwhile.
        self.access.start_generation(record)
        admitted = await self.admission.admit(self.admission.describe(record), record.model)
        if isinstance(admitted, Err):
            self.access.finish_generation(record)
        return admitted

    def _refuse_new(self, request: CompletionRequest) -> Failure | None:
        if self.draining:
            return refuse_request(503, "stopping", "The daemon is stopping; ask another one.")
        if request.model not in self.list_models():
            return refuse_request(404, "model_not_found", f"There is no model {request.model!r}.")
        return None

    async def _serve_generation(self, call: HttpCall, workspace: str, text: str) -> Failure | None:
        last_event = call.headers.get("last-event-id", "")
        event_id = parse_event_id(last_event or text)
        if event_id is None and not last_event:
            event_id = self.supervisor.create_local_event_id(text)
        if event_id is None or event_id.generation_id != text.partition(".")[0]:
            return refuse_request(
                400, "invalid_event_id", "Last-Event-ID is not of this generation."
            )
        existing = await self._finder.resume(event_id, workspace)
        if isinstance(existing, Err):
            return existing.err_value
        task, offset = existing.ok_value
        if call.scope["method"] == "DELETE":
            self.supervisor.cancel(task, CANCELLED)
            await call.respond(CallerResponse(status=204))
            return None
        responder = GenerationResponder(supervisor=self.supervisor, events=self._events)
        await responder.respond(call, task, offset, task.record.stream or bool(last_event), False)
        return None

    def _describe_call(self, call: HttpCall, workspace: str, body: bytes) -> CallerRequest:
        remaining = (read_deadline(call, 0.0) or 0.0) - time.time()
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


def _check_body(body: bytes, kind: GenerationKind) -> Result[CompletionRequest, Failure]:
    try:
        decoded: Any = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Err(refuse_request(400, "invalid_json", f"The body is not JSON: {error}."))
    return check_completion(decoded, kind)


def _encode_json(value: Any) -> CallerResponse:
    headers = {"content-type": "application/json"}
    return CallerResponse(status=200, headers=headers, body=orjson.dumps(value))
