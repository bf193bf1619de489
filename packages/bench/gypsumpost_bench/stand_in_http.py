"""ASGI helpers of the stand-ins."""

from collections.abc import Awaitable, Callable
from typing import Any

import hypercorn.trio
import orjson
import trio
from hypercorn.config import Config

AsgiScope = dict[str, Any]
AsgiReceive = Callable[[], Awaitable[Any]]
AsgiSend = Callable[[Any], Awaitable[None]]
AsgiApplication = Callable[[AsgiScope, AsgiReceive, AsgiSend], Awaitable[None]]

LISTEN_BACKLOG = 1024
"""hypercorn's default of 100 is below the bursts of the experiments."""

JSON_HEADERS = [(b"content-type", b"application/json")]


async def serve_application(application: AsgiApplication, address: str) -> None:
    """Serve HTTP with hypercorn until cancelled.

    :param application: the ASGI application.
    :param address: ``ip:port`` to listen on.
    """
    config = Config()
    config.bind = [address]
    config.backlog = LISTEN_BACKLOG
    config.errorlog = None
    await hypercorn.trio.serve(
        application,  # type: ignore[arg-type]
        config,
        shutdown_trigger=trio.sleep_forever,
    )


async def read_body(receive: AsgiReceive) -> bytes:
    """Read the whole body of a request.

    :param receive: ASGI receive function.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return bytes(body)
        body += message.get("body", b"")
        if not message.get("more_body"):
            return bytes(body)


async def send_json(
    send: AsgiSend,
    status: int,
    body: object,
    *,
    retry_after: float | None = None,
    limit: str = "",
    leaving: bool = False,
) -> None:
    """Send a complete JSON response.

    :param send: ASGI send function.
    :param status: HTTP status code.
    :param body: a JSON-serializable value.
    :param retry_after: seconds for the header ``Retry-After``, ``None`` for no such header.
    :param leaving: true to send the header ``X-Endpoint-Leaving``.
    :param limit: value of the header ``X-Request-Limit``, empty for no such header.
    """
    data = orjson.dumps(body)
    headers = [*JSON_HEADERS, (b"content-length", str(len(data)).encode())]
    if leaving:
        headers.append((b"x-endpoint-leaving", b"1"))
    if limit:
        headers.append((b"x-request-limit", limit.encode()))
    if retry_after is not None:
        headers.append((b"retry-after", str(retry_after).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": data})


async def drop_connection(send: AsgiSend) -> None:
    """Close the connection without a complete response.

    hypercorn answers 500 for an application that sends nothing. So a response is started whose
    announced body is never sent, which makes hypercorn close the connection.

    :param send: ASGI send function.
    """
    headers = [*JSON_HEADERS, (b"content-length", b"1")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"", "more_body": True})


def read_headers(scope: AsgiScope) -> dict[str, str]:
    """Return the headers of a request by lower-case name.

    :param scope: ASGI scope.
    """
    return {name.decode().lower(): value.decode() for name, value in scope["headers"]}
