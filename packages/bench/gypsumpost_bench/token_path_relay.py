"""Relay process of the token-path experiment: only the HTTP code of the daemon."""

import functools
import itertools
import json
import sys
import time

import trio
from result import Err

from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.engines.engine_event import EngineEvent
from gypsumpost_daemon.engines.engine_stream import EngineStream
from gypsumpost_daemon.garbage_collector import configure_garbage_collector
from gypsumpost_daemon.generations.coalescing import COALESCING
from gypsumpost_daemon.generations.event_encoder import DONE, EventEncoder, EventMetadata
from gypsumpost_daemon.http.asgi_application import Message, Receive, Scope, Send
from gypsumpost_daemon.http.http_server import HTTP_SERVERS

OPEN_SECONDS = 10.0
MAX_BODY = 1 << 20
EVENT_STREAM = [(b"content-type", b"text/event-stream")]
JSON = [(b"content-type", b"application/json")]


class TokenPathRelay:
    """ASGI application that relays one engine stream per request.

    :param transport: a name of the registry ``engine-transport``.
    :param coalescing: a name of the registry ``coalescing``.
    :param engines: addresses of the engines.
    """

    def __init__(self, *, transport: str, coalescing: str, engines: list[str]) -> None:
        self._client = EngineClient(transport=transport)
        self._split = COALESCING.create(coalescing)
        self._engines = itertools.cycle(engines)
        self._numbers = itertools.count()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer ``/usage`` with the used processor time, anything else with a stream."""
        if scope["path"] == "/usage":
            await self._send_usage(send)
            return
        body = await read_body(receive)
        deadline = trio.current_time() + OPEN_SECONDS
        engine = next(self._engines)
        opened = await self._client.open(engine, "/v1/completions", {}, body, deadline)
        if isinstance(opened, Err):
            await send({"type": "http.response.start", "status": 502, "headers": JSON})
            await send(create_body(opened.err_value.reason.encode(), False))
            return
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_at_disconnect, receive, nursery.cancel_scope)
                await self._relay(opened.ok_value, send)
                nursery.cancel_scope.cancel()
        finally:
            await opened.ok_value.aclose()

    async def _relay(self, stream: EngineStream, send: Send) -> None:
        encoder = self._create_encoder()
        await send({"type": "http.response.start", "status": 200, "headers": EVENT_STREAM})
        while True:
            received = await stream.receive()
            if isinstance(received, Err):
                return
            for group in self._split(received.ok_value):
                await send(create_body(b"".join([encode(encoder, event) for event in group]), True))
            if received.ok_value[-1].done:
                await send(create_body(b"", False))
                return

    def _create_encoder(self) -> EventEncoder:
        metadata = EventMetadata(
            generation_id=f"generation-{next(self._numbers):08d}",
            home="host-1",
            model="model-1",
            created=int(time.time()),
            chat=False,
            with_token_ids=True,
        )
        return EventEncoder(metadata=metadata, copy="host-2")

    async def _send_usage(self, send: Send) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": JSON})
        await send(create_body(json.dumps(time.process_time()).encode(), False))


def encode(encoder: EventEncoder, event: EngineEvent) -> bytes:
    """Encode one event of the engine for the caller."""
    if event.done:
        return DONE
    return encoder.encode_tokens(
        event.offset,
        event.text,
        event.token_ids,
        finish_reason=event.finish_reason,
        prompt_token_ids=event.prompt_token_ids,
        usage=event.usage,
    )


def create_body(body: bytes, more: bool) -> Message:
    """Return the ASGI message with a part of a response body."""
    return {"type": "http.response.body", "body": body, "more_body": more}


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body


async def cancel_at_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    """Cancel the relay when the caller has disconnected."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def run(server: str, transport: str, coalescing: str, engines: list[str]) -> None:
    """Print the address and serve until killed."""
    relay = TokenPathRelay(transport=transport, coalescing=coalescing, engines=engines)
    serve = functools.partial(
        HTTP_SERVERS.create,
        server,
        application=relay,
        address="127.0.0.1:0",
        max_body=MAX_BODY,
        tls=None,
    )
    async with trio.open_nursery() as nursery:
        running = await nursery.start(serve)
        print(running.address, flush=True)


if __name__ == "__main__":
    configure_garbage_collector()
    trio.run(run, sys.argv[1], sys.argv[2], sys.argv[3], sys.argv[4:])
