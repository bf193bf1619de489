"""Creates the records of new generations."""

import time

import attrs
from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.completion_request import CompletionRequest
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_daemon.callers.access_control import AccessControl
from gypsumpost_daemon.callers.call_headers import read_deadline, read_priority
from gypsumpost_daemon.callers.caller_refusals import refuse_request
from gypsumpost_daemon.generations.generation_supervisor import create_generation_id
from gypsumpost_daemon.http.http_call import HttpCall
from gypsumpost_daemon.settings import Settings

MAX_KEY_CHARACTERS = 200
RETENTION_AFTER_DEADLINE = 120.0
"""Seconds for which the state of an unfinished answer is retained after its deadline."""


@attrs.frozen(kw_only=True)
class RecordFactory:
    """Creates records from requests, headers, settings and allowances.

    :param settings: settings of the daemon.
    :param access: provides the workspaces' allowances.
    """

    settings: Settings
    access: AccessControl

    def create(
        self, call: HttpCall, workspace: str, body: bytes, request: CompletionRequest
    ) -> Result[GenerationRecord, Failure]:
        """Create the record of a new generation, or return why the request is refused.

        :param call: the caller's request.
        :param workspace: the caller's workspace.
        :param body: the request's body.
        :param request: the validated body.
        """
        now = time.time()
        deadline = read_deadline(call, now + self.settings.request_deadline)
        if deadline is None:
            return Err(
                refuse_request(400, "invalid_deadline", "X-Request-Deadline must be Unix seconds.")
            )
        allowance = self.access.find_allowance(workspace)
        if allowance is not None:
            deadline = min(deadline, now + allowance.deadline_seconds)
        if deadline <= now:
            return Err(
                refuse_request(408, "deadline_exceeded", "The request's deadline has passed.")
            )
        key = call.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARACTERS:
            message = f"Idempotency-Key is over {MAX_KEY_CHARACTERS} characters."
            return Err(refuse_request(400, "invalid_idempotency_key", message))
        priority = read_priority(call)
        if priority is None:
            return Err(
                refuse_request(400, "invalid_priority", "X-Request-Priority must be -100 to 100.")
            )
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
                keep_until=deadline + RETENTION_AFTER_DEADLINE,
            )
        )
