"""A caller that resumes its answer after a lost connection."""

import itertools
import uuid
from typing import Any

import attrs
import httpcore
import orjson
import trio

from gypsumpost_cli.answer import Answer
from gypsumpost_cli.event_reader import EventReader, ReceivedEvent

RECONNECT_TRIES = 40
RECONNECT_PAUSE = 0.1
"""Seconds between tries after a refusal; the first reconnect comes at once."""

PATHS = {False: "/v1/completions", True: "/v1/chat/completions"}


@attrs.define(kw_only=True)
class AnswerClient:
    """Sends requests to entry hosts in turn.

    :param addresses: ``ip:port`` of the entry hosts.
    :param key: bearer key of the workspace.
    :param silence_limit: seconds without data after which it reconnects, ``None`` for no limit.
    """

    addresses: list[str]
    key: str
    silence_limit: float | None = None
    _turns: Any = attrs.field(init=False)
    _pool: httpcore.AsyncConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._turns = itertools.cycle(self.addresses)
        self._pool = httpcore.AsyncConnectionPool(max_connections=10_000, retries=0)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def generate(
        self, body: dict[str, Any], chat: bool = False, idempotency_key: str = ""
    ) -> Answer:
        """Request an answer as a stream and read it to its end, over reconnects.

        :param body: the request; streaming and token ids are added.
        :param chat: true for a chat.
        :param idempotency_key: key to send, empty for none.
        """
        answer = Answer(request_id=uuid.uuid4().hex[:16], sent_at=trio.current_time())
        body = body | {"stream": True, "return_token_ids": True}
        headers = [("Content-Type", "application/json")]
        if idempotency_key:
            headers.append(("Idempotency-Key", idempotency_key))
        content = orjson.dumps(body)
        for number in range(RECONNECT_TRIES):
            if answer.last_event_id:
                path = f"/v1/generations/{answer.last_event_id.partition(':')[0]}"
                resume = [("Last-Event-ID", answer.last_event_id)]
                done = await self._read(answer, "GET", path, resume, b"")
            else:
                done = await self._read(answer, "POST", PATHS[chat], headers, content)
            if done:
                return answer
            answer.reconnects += 1
            await trio.sleep(RECONNECT_PAUSE if number else 0)
        answer.error = answer.error or "no entry host completed the answer"
        return answer

    async def _read(
        self, answer: Answer, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> bool:
        headers = [
            ("Host", "gypsumpost"),
            ("Authorization", f"Bearer {self.key}"),
            ("X-Request-Id", answer.request_id),
            *headers,
        ]
        url = f"http://{next(self._turns)}{path}"
        timeout = {"timeout": {"read": self.silence_limit}}
        try:
            async with self._pool.stream(
                method, url, headers=headers, content=body, extensions=timeout
            ) as response:
                if response.status != 200:
                    return _take_refusal(answer, response.status, await response.aread())
                return await self._read_events(answer, response)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return False

    async def _read_events(self, answer: Answer, response: httpcore.Response) -> bool:
        reader = EventReader()
        async for part in response.aiter_stream():
            for event in reader.feed(part):
                if event.data is None:
                    return True
                if "error" in event.data:
                    answer.error = event.data["error"]["message"]
                    return bool(event.data["error"]["code"] != "moved")
                take_event(answer, event)
        return False


def take_event(answer: Answer, event: ReceivedEvent) -> None:
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


def _take_refusal(answer: Answer, status: int, body: bytes) -> bool:
    error = orjson.loads(body)["error"]
    answer.error = f"{status}: {error['message']}"
    answer.error_status, answer.run_state = status, error["run_state"]
    return status < 500
