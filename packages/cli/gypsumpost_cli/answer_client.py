"""A caller that resumes its answer after a lost connection."""

import uuid
from typing import Any

import attrs
import httpcore
import orjson
import trio

from gypsumpost_cli.answer import Answer
from gypsumpost_cli.connection import Connection, ConnectionEnd
from gypsumpost_cli.entry_pool import EntryPool
from gypsumpost_cli.event_reader import EventReader, ReceivedEvent
from gypsumpost_core.run_state import RunState

MAX_TRIES = 40
"""Connections for one answer, including the first."""

RECONNECT_DELAY_SECONDS = 0.1
"""Seconds before each reconnect; the first reconnect is immediate."""

PATHS = {False: "/v1/completions", True: "/v1/chat/completions"}


@attrs.define(kw_only=True)
class AnswerClient:
    """Sends requests to the entry hosts in round-robin order.

    :param addresses: ``ip:port`` of the entry hosts.
    :param key: bearer key of the workspace.
    :param retries_refusals: whether to send a refused request again; a load does not, so that each
        refusal is returned and counted.
    :param read_timeout: seconds without data after which the client connects to the next host,
        ``None`` for no timeout.
    """

    addresses: list[str]
    key: str
    retries_refusals: bool = True
    read_timeout: float | None = None
    _entries: EntryPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._entries = EntryPool(addresses=self.addresses)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._entries.aclose()

    async def generate(
        self, body: dict[str, Any], chat: bool = False, idempotency_key: str = ""
    ) -> Answer:
        """Request a streamed answer and read it to its end; lost connections are resumed.

        :param body: the request; ``stream`` and ``return_token_ids`` are set in it.
        :param chat: true to call the chat API.
        :param idempotency_key: key to send, empty for none.
        """
        answer = Answer(request_id=uuid.uuid4().hex[:16], sent_at=trio.current_time())
        await self.continue_answer(answer, body, chat, idempotency_key)
        return answer

    async def continue_answer(
        self, answer: Answer, body: dict[str, Any], chat: bool, idempotency_key: str
    ) -> None:
        """Read an answer to its end; if cancelled, what was received stays in ``answer``.

        :param answer: the answer so far, to which the received events are added.
        :param body: the request; ``stream`` and ``return_token_ids`` are set in it.
        :param chat: true to call the chat API.
        :param idempotency_key: key to send, empty for none.
        """
        body = body | {"stream": True, "return_token_ids": True}
        headers = [("Content-Type", "application/json")]
        if idempotency_key:
            headers.append(("Idempotency-Key", idempotency_key))
        content = orjson.dumps(body)
        for number in range(MAX_TRIES):
            if answer.last_event_id:
                path = f"/v1/generations/{answer.last_event_id.partition(':')[0]}"
                resume = [("Last-Event-ID", answer.last_event_id)]
                done = await self._read(answer, "GET", path, resume, b"")
            else:
                done = await self._read(answer, "POST", PATHS[chat], headers, content)
            if done:
                return
            answer.reconnects += 1
            await trio.sleep(RECONNECT_DELAY_SECONDS if number else 0)
        answer.error = answer.error or "no entry host completed the answer"

    async def _read(
        self, answer: Answer, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> bool:
        headers = [
            ("Host", "gypsumpost"),
            ("Authorization", f"Bearer {self.key}"),
            ("X-Request-Id", answer.request_id),
            *headers,
        ]
        url, opened_at = self._entries.create_url(path), trio.current_time()
        address = url.removeprefix("http://").partition("/")[0]
        try:
            end = await self._exchange(answer, method, url, headers, body)
        except httpcore.TimeoutException:
            end = ConnectionEnd.TIMED_OUT
        except (httpcore.NetworkError, httpcore.ProtocolError):
            end = ConnectionEnd.LOST
        answer.connections.append(
            Connection(address=address, opened_at=opened_at, ended_at=trio.current_time(), end=end)
        )
        if end is ConnectionEnd.REFUSED and not (self.retries_refusals or answer.last_event_id):
            return True
        return end is ConnectionEnd.DONE

    async def _exchange(
        self, answer: Answer, method: str, url: str, headers: list[tuple[str, str]], body: bytes
    ) -> ConnectionEnd:
        timeout = {"connect": self.read_timeout, "read": self.read_timeout}
        async with self._entries.connections.stream(
            method, url, headers=headers, content=body, extensions={"timeout": timeout}
        ) as response:
            if response.status != 200:
                return record_refusal(answer, response.status, await response.aread())
            return await self._read_events(answer, response)

    async def _read_events(self, answer: Answer, response: httpcore.Response) -> ConnectionEnd:
        reader = EventReader()
        async for chunk in response.aiter_stream():
            for event in reader.feed(chunk):
                if event.data is None:
                    return ConnectionEnd.DONE
                if "error" in event.data:
                    answer.error = event.data["error"]["message"]
                    answer.error_code = event.data["error"]["code"]
                    answer.run_state = event.data["error"]["run_state"]
                    moved = answer.error_code == "moved"
                    return ConnectionEnd.REFUSED if moved else ConnectionEnd.DONE
                add_event(answer, event)
            await self._wait_between_chunks()
        return ConnectionEnd.LOST

    async def _wait_between_chunks(self) -> None:
        """Return at once; clients of tests and trials override this to read slowly."""


def add_event(answer: Answer, event: ReceivedEvent) -> None:
    """Add an event to an answer.

    :param answer: the answer so far.
    :param event: an event with data.
    """
    assert event.data is not None
    choice = event.data["choices"][0]
    answer.last_event_id = event.event_id
    answer.error = None
    answer.prompt_token_ids = event.data.get("prompt_token_ids") or answer.prompt_token_ids
    tokens = choice.get("token_ids") or []
    if tokens:
        answer.arrivals.append(trio.current_time())
    answer.token_ids += tokens
    answer.text += choice["text"] if "text" in choice else choice["delta"].get("content", "")
    answer.finish_reason = choice["finish_reason"] or answer.finish_reason


def record_refusal(answer: Answer, status: int, body: bytes) -> ConnectionEnd:
    """Record an error response; one that does not come from the daemon may have any body.

    :param answer: the answer so far.
    :param status: status code.
    :param body: the complete body.
    """
    answer.error_status = status
    try:
        error = orjson.loads(body)["error"]
        answer.error = f"{status}: {error['message']}"
        answer.run_state, answer.error_code = error["run_state"], error["code"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        answer.error = f"status {status}"
        answer.run_state, answer.error_code = RunState.UNKNOWN.value, ""
    # "moved": the answer was taken over by another connection of this caller.
    # 5xx: the host cannot serve the request now.
    is_retryable = status >= 500 or answer.error_code == "moved"
    return ConnectionEnd.REFUSED if is_retryable else ConnectionEnd.DONE
