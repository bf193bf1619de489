"""HTTP interface of the engine stand-in."""

import itertools
import os
import time
import uuid
from collections import deque
from typing import Any

import attrs
import orjson
import trio

from gypsumpost_bench.engine_batch import EngineBatch
from gypsumpost_bench.engine_sequence import EngineSequence
from gypsumpost_bench.exchange import Exchange
from gypsumpost_cli.token_chain import TokenChain
from gypsumpost_cli.vocabulary import ANSWER_MARKER, tokenize_text
from gypsumpost_daemon.http.asgi_lifespan import complete_lifespan

CRASH_TEXT = "crash-this-engine"
"""A request whose prompt contains this text crashes the engine, as an injected fault."""

CACHE_EVENT_LAG = 8
"""Number of the newest cache events that are withheld, because engines publish them late."""

CACHE_EVENT_GAP = 50
"""One of this many cache events is never published."""


@attrs.define(kw_only=True)
class EngineApplication:
    """ASGI application of one engine.

    :param name: name of the engine.
    :param batch: runs the generations.
    :param models: the loaded models, as JSON objects.
    :param load_lag: seconds by which load reports lag.
    :param checks_fencing: true if orders with an outdated fencing token are refused.
    :param model_slots: number of models with adapters that fit into memory.
    """

    name: str
    batch: EngineBatch
    models: list[dict[str, str]]
    load_lag: float
    checks_fencing: bool
    model_slots: int = 4
    boot_id: str = attrs.field(factory=lambda: uuid.uuid4().hex, init=False)
    refusing: bool = attrs.field(default=False, init=False)
    draining: bool = attrs.field(default=False, init=False)
    fencing_token: int = attrs.field(default=0, init=False)
    orders: list[dict[str, Any]] = attrs.field(factory=list, init=False)
    samples: deque[dict[str, Any]] = attrs.field(factory=deque, init=False)
    _numbers: Any = attrs.field(factory=itertools.count, init=False)

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await complete_lifespan(receive, send)
            return
        exchange = Exchange(scope=scope, receive=receive, send=send)
        parts = exchange.path.strip("/").split("/")
        route = f"{exchange.method} /{'/'.join(parts[:2])}"
        if route in ("POST /v1/completions", "POST /v1/chat"):
            await self._serve_completion(exchange, chat=parts[1] == "chat")
        elif route == "GET /v1/streams" and len(parts) == 3:
            await self._serve_stream(exchange, parts[2])
        elif route == "POST /v1/streams" and parts[3:] == ["cancel"]:
            await self._cancel_stream(exchange, parts[2])
        elif route == "GET /load":
            await exchange.reply(200, self._get_lagged_sample())
        elif route == "GET /cache_events":
            await exchange.reply(200, {"events": self._list_cache_events(exchange)})
        elif route == "POST /orders":
            await self._execute_order(exchange)
        elif route == "POST /faults":
            await self._inject_fault(exchange)
        else:
            await exchange.reply(404, {"error": {"message": f"no route {route}"}})

    async def sample_load(self) -> None:
        """Record load samples until cancelled."""
        while True:
            self.samples.append(self._describe_load())
            while len(self.samples) > 1 and self._is_old(self.samples[1]):
                self.samples.popleft()
            await trio.sleep(0.1)

    def _is_old(self, sample: dict[str, Any]) -> bool:
        return bool(sample["sampled_at"] <= time.time() - self.load_lag)

    def _get_lagged_sample(self) -> dict[str, Any]:
        return self.samples[0] if self.samples else self._describe_load()

    def _describe_load(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "boot_id": self.boot_id,
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "cache_used": self.batch.cache.used,
            "sampled_at": time.time(),
            "draining": self.draining,
            "models": list(self.models),
            "model_slots": self.model_slots,
            "tokens_produced": sum(len(s.tokens) for s in self.batch.streams.values()),
        }

    async def _serve_completion(self, exchange: Exchange, chat: bool) -> None:
        request = await exchange.read_json()
        if self.refusing or self.draining:
            await exchange.reply(503, {"error": {"message": "the engine takes no new work"}})
            return
        if request.get("model") not in [loaded["model"] for loaded in self.models]:
            await exchange.reply(404, {"error": {"message": "the model is not loaded"}})
            return
        stream_id = exchange.read_header("x-request-id") or f"stream-{next(self._numbers)}"
        prompt = _read_prompt(request, chat)
        if CRASH_TEXT in bytes(t - 3 for t in prompt if 3 <= t < 259).decode(errors="replace"):
            os._exit(1)
        sequence = EngineSequence(
            stream_id=stream_id,
            prompt=prompt,
            max_tokens=int(request.get("max_tokens", 16)),
            priority=int(request.get("priority", 0)),
            stop=tuple(request.get("stop") or ()),
            ignore_eos=bool(request.get("ignore_eos")),
            chain=TokenChain(prompt=prompt, seed=request.get("seed")),
        )
        self.batch.submit(sequence)
        await self._write_events(exchange, sequence, 0, chat, first=True)

    async def _serve_stream(self, exchange: Exchange, stream_id: str) -> None:
        sequence = self.batch.streams.get(stream_id)
        offset = int(exchange.read_query("offset", "0"))
        if sequence is None or sequence.finish_reason == "cancelled":
            await exchange.reply(404, {"error": {"message": "unknown stream"}})
        elif offset > len(sequence.tokens):
            await exchange.reply(416, {"error": {"message": "the offset is not produced yet"}})
        else:
            await self._write_events(exchange, sequence, offset, chat=False, first=False)

    async def _cancel_stream(self, exchange: Exchange, stream_id: str) -> None:
        sequence = self.batch.streams.get(stream_id)
        if sequence is not None:
            sequence.finish("cancelled")
        await exchange.reply(200, {"cancelled": sequence is not None})

    async def _write_events(
        self, exchange: Exchange, sequence: EngineSequence, offset: int, chat: bool, first: bool
    ) -> None:
        await exchange.start(200, "text/event-stream")
        sequence.readers += 1
        try:
            while True:
                changed = sequence.changed
                while offset < len(sequence.tokens):
                    event = self._create_event(sequence, offset, chat)
                    if first:
                        event["prompt_token_ids"] = sequence.prompt
                        first = False
                    await exchange.write(b"data: " + orjson.dumps(event) + b"\n\n")
                    offset += 1
                if sequence.finish_reason is not None:
                    break
                await changed.wait()
            await exchange.write(self._create_end(sequence, offset, chat), more=False)
        finally:
            sequence.readers -= 1
            sequence.unread_since = trio.current_time()

    def _create_event(self, sequence: EngineSequence, offset: int, chat: bool) -> dict[str, Any]:
        text = sequence.texts[offset]
        choice: dict[str, Any] = {"index": 0, "token_ids": [sequence.tokens[offset]]}
        choice |= {"delta": {"content": text}} if chat else {"text": text}
        choice["finish_reason"] = None
        return {
            "id": sequence.stream_id,
            "model": self.models[0]["model"],
            "offset": offset,
            "choices": [choice],
        }

    def _create_end(self, sequence: EngineSequence, offset: int, chat: bool) -> bytes:
        choice: dict[str, Any] = {"index": 0, "token_ids": []}
        choice |= {"delta": {"content": ""}} if chat else {"text": ""}
        choice["finish_reason"] = sequence.finish_reason
        usage = {"prompt_tokens": len(sequence.prompt), "completion_tokens": len(sequence.tokens)}
        event = {
            "id": sequence.stream_id,
            "model": self.models[0]["model"],
            "offset": offset,
            "choices": [choice],
            "usage": usage,
        }
        return b"data: " + orjson.dumps(event) + b"\n\ndata: [DONE]\n\n"

    def _list_cache_events(self, exchange: Exchange) -> list[dict[str, object]]:
        since = int(exchange.read_query("since", "0"))
        events = self.batch.cache.events
        visible = events[since : max(0, len(events) - CACHE_EVENT_LAG)][:500]
        return [e for e in visible if int(str(e["sequence"])) % CACHE_EVENT_GAP != 7]

    async def _execute_order(self, exchange: Exchange) -> None:
        order = await exchange.read_json()
        token = int(order.get("fencing_token", 0))
        if self.checks_fencing and token < self.fencing_token:
            await exchange.reply(409, {"error": {"message": "the fencing token is old"}})
            return
        self.fencing_token = max(token, self.fencing_token)
        self.orders.append(order)
        reference = {name: order.get(name, "") for name in ("model", "version", "adapter")}
        if order.get("action") == "load" and reference not in self.models:
            self.models.append(reference)
        if order.get("action") == "unload" and reference in self.models:
            self.models.remove(reference)
        await exchange.reply(200, {"models": self.models})

    async def _inject_fault(self, exchange: Exchange) -> None:
        fault = await exchange.read_json()
        kind = fault.get("kind")
        await exchange.reply(200, {"fault": kind})
        if kind == "die":
            os._exit(1)
        elif kind == "pause":
            # Blocks the event loop: the process neither produces tokens nor answers requests.
            time.sleep(float(fault["seconds"]))
        elif kind == "stall":
            for sequence in self.batch.running:
                sequence.stalled = not fault.get("end", False)
        elif kind == "refuse":
            self.refusing = bool(fault.get("on", True))
        elif kind == "slow":
            self.batch.slow_factor = float(fault["factor"])
        elif kind == "drain":
            self.draining = bool(fault.get("on", True))


def _read_prompt(request: dict[str, Any], chat: bool) -> list[int]:
    if chat:
        lines = [f"{message['role']}: {message['content']}\n" for message in request["messages"]]
        return [*tokenize_text("".join(lines)), ANSWER_MARKER]
    prompt = request["prompt"]
    tokens = tokenize_text(prompt) if isinstance(prompt, str) else list(prompt)
    return tokens if ANSWER_MARKER in tokens else [*tokens, ANSWER_MARKER]
