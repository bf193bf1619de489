"""Lookup of the generation of a resumed or retried request."""

import attrs
from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.event_id import EventId, parse_event_id
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_daemon.callers.caller_refusals import refuse_request, report_lost_generation
from gypsumpost_daemon.generations.generation_supervisor import GenerationSupervisor
from gypsumpost_daemon.generations.generation_task import GenerationTask
from gypsumpost_daemon.generations.idempotency_key_client import IdempotencyKeyClient
from gypsumpost_daemon.http.http_call import HttpCall


@attrs.frozen(kw_only=True)
class GenerationFinder:
    """Looks up generations by event id or idempotency key.

    :param supervisor: runs generations and takes them over.
    :param keys: finds generations by idempotency key.
    """

    supervisor: GenerationSupervisor
    keys: IdempotencyKeyClient

    async def find_retried(
        self, call: HttpCall, record: GenerationRecord
    ) -> Result[tuple[GenerationTask | None, int], Failure]:
        """Find the generation of a resumed or retried request, and the caller's offset.

        :param call: the caller's request.
        :param record: record of the new generation that would be started otherwise.
        :returns: ``None`` and 0 if the request is new.
        """
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
            return Err(refuse_request(400, "invalid_event_id", "Last-Event-ID is not an event id."))
        found = await self.resume(event_id, record.workspace)
        if isinstance(found, Ok) and found.ok_value[0].record.body != record.body:
            return Err(
                refuse_request(422, "invalid_event_id", "Last-Event-ID is of another request.")
            )
        return found

    async def resume(
        self, event_id: EventId, workspace: str
    ) -> Result[tuple[GenerationTask, int], Failure]:
        """Find the generation of an event id, and the caller's offset.

        :param event_id: id of the last event that the caller received.
        :param workspace: the caller's workspace.
        """
        task = await self._recover(event_id, workspace)
        if task is None:
            return Err(report_lost_generation("There is no such generation, or its state is lost."))
        if not task.record.has_prefix(event_id.attempt, event_id.offset):
            return Err(report_lost_generation("The answer went on differently elsewhere."))
        if event_id.offset > task.record.length and not task.generation.finished:
            # The engine's open stream may still deliver these tokens; a new attempt would produce
            # different ones.
            task.require_length(event_id.offset)
        elif not task.generation.has_boundary(event_id.offset):
            return Err(
                refuse_request(400, "invalid_event_id", "Last-Event-ID is not of this answer.")
            )
        return Ok((task, event_id.offset))

    async def _recover(self, event_id: EventId, workspace: str) -> GenerationTask | None:
        task = await self.supervisor.recover(event_id, workspace)
        if task is not None:
            await self.keys.register(task.record, task.holders)
        return task
