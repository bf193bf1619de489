"""Sends the answer of a generation to a caller."""

from typing import Any

import attrs
import orjson
import trio

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_events import CallerEvents
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.callers.error_body import encode_failure
from gypsumpost_daemon.generations.event_encoder import DONE, EventEncoder, EventMetadata
from gypsumpost_daemon.generations.generation_supervisor import GenerationSupervisor
from gypsumpost_daemon.generations.generation_task import GenerationTask
from gypsumpost_daemon.http.http_call import HttpCall

MOVED = Failure(
    status=409,
    code="moved",
    message="Another connection goes on with this answer.",
    run_state=RunState.RUN,
)


@attrs.define(kw_only=True)
class GenerationResponder:
    """Sends an answer as server-sent events or as one JSON object.

    :param supervisor: creates event ids.
    :param events: logs and counts the outcome.
    """

    supervisor: GenerationSupervisor
    events: CallerEvents
    _sent: int = attrs.field(default=0, init=False)
    _copy_and_attempt: tuple[list[str], str] | None = attrs.field(default=None, init=False)

    async def respond(
        self, call: HttpCall, task: GenerationTask, offset: int, stream: bool, usage: bool
    ) -> None:
        """Send the answer from an offset on until it ends or the caller disconnects.

        :param call: the caller's request.
        :param task: the generation.
        :param offset: number of output tokens that the caller has received.
        :param stream: true for server-sent events.
        :param usage: true if the last event of a stream includes the usage.
        """
        task.readers += 1
        self._sent, ended = offset, False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, call, nursery.cancel_scope)
                if stream:
                    await self._stream_answer(call, task, offset, usage)
                else:
                    await self._send_answer(call, task)
                ended = True
                nursery.cancel_scope.cancel()
        finally:
            if not ended:
                self.events.record_disconnect(task.record, self._sent)
            task.readers -= 1
            task.unread_since = trio.current_time()

    async def _send_answer(self, call: HttpCall, task: GenerationTask) -> None:
        await task.wait_end()
        failure = _find_failure(task)
        if failure is not None:
            self.events.record_failed_answer(task.record, failure, 0)
            await call.respond(encode_failure(failure))
            return
        self.events.record_whole_answer(task.record)
        body = orjson.dumps(describe_answer(task))
        headers = {"content-type": "application/json"} | self._create_id_header(task)
        await call.respond(CallerResponse(status=200, headers=headers, body=body))

    async def _stream_answer(
        self, call: HttpCall, task: GenerationTask, offset: int, usage: bool
    ) -> None:
        pieces = await task.read(offset)
        failure = _find_failure(task)
        if not pieces and failure is not None:
            self.events.record_failed_answer(task.record, failure, offset)
            await call.respond(encode_failure(failure))
            return
        headers = {"content-type": "text/event-stream", "cache-control": "no-store"}
        await call.start(200, headers | self._create_id_header(task))
        encoder = self._create_encoder(task)
        if offset == 0 and task.record.kind is GenerationKind.CHAT:
            await call.write(encoder.encode_role())
        while pieces:
            await call.write(self._encode_pieces(encoder, task, pieces))
            self._sent = offset = pieces[-1].end
            pieces = await task.read(offset)
        await call.write(self._encode_end(task, encoder, offset, usage), more=False)

    def _encode_end(
        self, task: GenerationTask, encoder: EventEncoder, offset: int, usage: bool
    ) -> bytes:
        failure = _find_failure(task)
        if failure is not None:
            self.events.record_failed_answer(task.record, failure, offset)
            return b"data: " + encode_failure(failure).body + b"\n\n"
        self.events.record_whole_answer(task.record)
        end = encoder.encode_tokens(
            offset,
            "",
            (),
            finish_reason=task.record.finish_reason,
            usage=describe_usage(task) if usage else None,
        )
        return end + DONE

    def _create_encoder(self, task: GenerationTask) -> EventEncoder:
        record = task.record
        metadata = EventMetadata(
            generation_id=record.generation_id,
            home=self.supervisor.host_id,
            model=record.model,
            created=int(record.created_at),
            chat=record.kind is GenerationKind.CHAT,
            with_token_ids=record.return_token_ids,
        )
        return EventEncoder(metadata=metadata, copy=self.supervisor.create_event_id(task, 0).copy)

    def _encode_pieces(
        self, encoder: EventEncoder, task: GenerationTask, pieces: list[Piece]
    ) -> bytes:
        events = []
        for piece in pieces:
            copy_and_attempt = task.holders, task.record.find_origin(piece.end)
            if copy_and_attempt != self._copy_and_attempt:
                self._copy_and_attempt = copy_and_attempt
                copy = self.supervisor.create_event_id(task, 0).copy
                encoder.set_copy_and_attempt(copy, copy_and_attempt[1])
            events.append(_encode_piece(encoder, task, piece))
        return events[0] if len(events) == 1 else b"".join(events)

    def _create_id_header(self, task: GenerationTask) -> dict[str, str]:
        return {"x-generation-id": self.supervisor.create_event_id(task, 0).resume_id}


async def _cancel_on_disconnect(call: HttpCall, scope: trio.CancelScope) -> None:
    await call.wait_disconnect()
    scope.cancel()


def _encode_piece(encoder: EventEncoder, task: GenerationTask, piece: Piece) -> bytes:
    prompt = task.record.prompt_token_ids if piece.start == 0 else None
    return encoder.encode_tokens(piece.start, piece.text, piece.token_ids, prompt_token_ids=prompt)


def _find_failure(task: GenerationTask) -> Failure | None:
    return MOVED if task.moved else task.failure


def describe_answer(task: GenerationTask) -> dict[str, Any]:
    """Return the JSON object of a complete answer.

    :param task: a finished generation.
    """
    record = task.record
    text = "".join(piece.text for piece in record.pieces)
    choice: dict[str, Any] = {"index": 0, "finish_reason": record.finish_reason, "logprobs": None}
    if record.kind is GenerationKind.CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    answer: dict[str, Any] = {
        "id": record.generation_id,
        "object": "chat.completion" if record.kind is GenerationKind.CHAT else "text_completion",
        "created": int(record.created_at),
        "model": record.model,
        "choices": [choice],
        "usage": describe_usage(task),
    }
    if record.return_token_ids:
        choice["token_ids"] = record.list_token_ids()
        answer["prompt_token_ids"] = list(record.prompt_token_ids)
    return answer


def describe_usage(task: GenerationTask) -> dict[str, int]:
    """Return the token counts of an answer as an OpenAI usage object.

    :param task: a finished generation.
    """
    prompt, output = len(task.record.prompt_token_ids), task.record.length
    return {
        "prompt_tokens": prompt,
        "completion_tokens": output,
        "total_tokens": prompt + output,
    }
