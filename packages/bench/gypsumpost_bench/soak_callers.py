"""Callers of generations in a soak run."""

import random
from typing import Any

import attrs
import httpcore
import orjson
import trio

from gypsumpost_bench.answer_event import AnswerEvent
from gypsumpost_bench.caller_kind import CallerKind
from gypsumpost_bench.deployment_lists import KEYS
from gypsumpost_bench.engine_application import CRASH_TEXT
from gypsumpost_bench.history import History
from gypsumpost_bench.refusal_event import RefusalEvent
from gypsumpost_bench.soak_client import SoakClient
from gypsumpost_cli.answer import Answer
from gypsumpost_cli.vocabulary import ANSWER_MARKER, tokenize_text

READ_TIMEOUT = 1.0
"""A caller reconnects after these seconds without data, a third of the longest allowed stall."""

WEIGHTED_KINDS = [CallerKind.STREAM] * 5 + [
    CallerKind.RECONNECT,
    CallerKind.RECONNECT,
    CallerKind.REPEAT,
    CallerKind.SLOW,
    CallerKind.DISAPPEAR,
]

BAD_REQUESTS: dict[str, bytes] = {
    "malformed JSON": b'{"model": "summary", ',
    "JSON of another type": b'["summary"]',
    "unknown model": b'{"model": "other", "prompt": "x"}',
    "negative length": b'{"model": "summary", "prompt": "x", "max_tokens": -4}',
    "length of another type": b'{"model": "summary", "prompt": "x", "max_tokens": "many"}',
    "prompt of another type": b'{"model": "summary", "prompt": {"a": 1}}',
    "invalid UTF-8": b'{"model": "summary", "prompt": "\xff\xfe"}',
}


@attrs.define(kw_only=True)
class SoakCallers:
    """Sends requests of all kinds.

    :param rng: random number generator.
    :param addresses: caller addresses of all daemons.
    :param history: records the answers and refusals.
    :param max_tokens: upper bound of the length of an answer, in tokens.
    """

    rng: random.Random
    addresses: list[str]
    history: History
    max_tokens: int = 100
    _number: int = attrs.field(default=0, init=False)
    _foreign_ids: list[str] = attrs.field(factory=list, init=False)

    async def send_request(self) -> None:
        """Send one request of a random kind and record its result."""
        choice = self.rng.random()
        if choice < 0.1:
            await self._send_bad_request()
        elif choice < 0.15 and self._foreign_ids:
            await self._send_foreign_id()
        else:
            await self.request_answer(self.rng.choice(WEIGHTED_KINDS))

    async def request_answer(self, kind: CallerKind) -> None:
        """Request an answer and record it.

        :param kind: behaviour of the caller.
        """
        self._number += 1
        text = f"Summarise incident {self._number} of {self.rng.randrange(10**6)}."
        if kind is CallerKind.CRASH:
            text += " " + CRASH_TEXT
        chat = self.rng.random() < 0.3
        length = self.rng.randrange(5, self.max_tokens)
        if kind is not CallerKind.REPEAT:
            await self._read_answer(kind, text, chat, length, key="")
            return
        key = f"repeat-{self._number}-{self.rng.randrange(10**9)}"
        async with trio.open_nursery() as nursery:
            for delay in (0.0, self.rng.choice((0.0, 0.0, 0.3, 1.0))):
                nursery.start_soon(self._repeat_later, delay, text, chat, length, key)

    async def _repeat_later(
        self, delay: float, text: str, chat: bool, length: int, key: str
    ) -> None:
        await trio.sleep(delay)
        await self._read_answer(CallerKind.REPEAT, text, chat, length, key)

    async def _read_answer(
        self, kind: CallerKind, text: str, chat: bool, length: int, key: str
    ) -> None:
        client = self._create_client(kind)
        body: dict[str, Any] = {"model": "summary", "max_tokens": length, "ignore_eos": True}
        body |= {"messages": [{"role": "user", "content": text}]} if chat else {"prompt": text}
        answer = Answer(request_id=f"soak-{self._number}", sent_at=trio.current_time())
        seconds = self.rng.uniform(0.1, 2.0) if kind is CallerKind.DISAPPEAR else 120.0
        with trio.move_on_after(seconds):
            await client.continue_answer(answer, body, chat, key)
        with trio.move_on_after(1, shield=True):
            await client.aclose()
        self.history.answers.append(
            AnswerEvent(
                kind=kind,
                prompt_token_ids=describe_prompt(text, chat),
                max_tokens=length,
                answer=answer,
                ended_at=trio.current_time(),
            )
        )
        if answer.last_event_id:
            self._foreign_ids.append(answer.last_event_id)

    def _create_client(self, kind: CallerKind) -> SoakClient:
        addresses = self.rng.sample(self.addresses, len(self.addresses))
        client = SoakClient(addresses=addresses, key=KEYS["laurentides"], read_timeout=READ_TIMEOUT)
        if kind is CallerKind.RECONNECT:
            client.drop_after = [self.rng.uniform(0.05, 1.5) for _ in range(self.rng.randrange(5))]
        elif kind is CallerKind.SLOW:
            client.pause = self.rng.uniform(0.05, 0.2)
        return client

    async def _send_bad_request(self) -> None:
        name, body = self.rng.choice(list(BAD_REQUESTS.items()))
        await self._send_invalid_request(name, "POST", "/v1/completions", body, {})

    async def _send_foreign_id(self) -> None:
        event_id = self.rng.choice(self._foreign_ids)
        path = "/v1/generations/" + event_id.partition(":")[0]
        await self._send_invalid_request(
            "foreign id", "GET", path, b"", {"Last-Event-ID": event_id}
        )

    async def _send_invalid_request(
        self, name: str, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> None:
        common_headers = {"Host": "gypsumpost", "Authorization": f"Bearer {KEYS['filers']}"}
        address = self.rng.choice(self.addresses)
        url = f"http://{address}{path}"
        status, error = 0, {"code": "", "run_state": ""}
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                with trio.fail_after(5):
                    response = await pool.request(
                        method,
                        url,
                        headers=[*common_headers.items(), *headers.items()],
                        content=body,
                    )
                status = response.status
                error = orjson.loads(response.content)["error"]
            except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
                pass
        self.history.refusals.append(
            RefusalEvent(
                name=name,
                address=address,
                at=trio.current_time(),
                status=status,
                code=error["code"],
                run_state=error["run_state"],
            )
        )


def describe_prompt(text: str, chat: bool) -> list[int]:
    """Return the prompt token ids that an engine reports for a request.

    :param text: the prompt, or the content of the only chat message.
    :param chat: true for a chat completion.
    """
    return [*tokenize_text(f"user: {text}\n" if chat else text), ANSWER_MARKER]
