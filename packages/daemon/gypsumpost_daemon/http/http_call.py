"""One caller's HTTP request on an ASGI connection."""

from collections.abc import Mapping

import attrs

from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.http.asgi_application import Receive, Scope, Send
from gypsumpost_daemon.http.body_buffer import BodyBuffer


@attrs.define(kw_only=True)
class HttpCall:
    """Reads the request and writes the response.

    :param scope: ASGI connection scope.
    :param receive: ASGI receive callable.
    :param send: ASGI send callable.
    :param request_id: id of the request, returned in the ``x-request-id`` header.
    """

    scope: Scope
    receive: Receive
    send: Send
    request_id: str
    headers: dict[str, str] = attrs.field(init=False)
    started: bool = attrs.field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        pairs = self.scope["headers"]
        self.headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in pairs}

    async def read_body(self, limit: int) -> bytes | None:
        """Return the whole body, ``None`` if it is longer than the limit.

        :param limit: longest accepted body in bytes.
        """
        body = BodyBuffer()
        while True:
            message = await self.receive()
            body.append(message.get("body", b""))
            if body.size > limit:
                return None
            if not message.get("more_body"):
                return body.take()

    async def wait_disconnect(self) -> None:
        """Return when the caller has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            continue

    async def respond(self, response: CallerResponse) -> None:
        """Send a whole response.

        :param response: the response.
        """
        headers = {"content-length": str(len(response.body))} | dict(response.headers)
        await self.start(response.status, headers)
        await self.write(response.body, more=False)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of a response.

        :param status: HTTP status code.
        :param headers: headers by lower-case name.
        """
        self.started = True
        pairs = [(b"x-request-id", self.request_id.encode())]
        pairs += [(name.encode(), value.encode("latin-1")) for name, value in headers.items()]
        await self.send({"type": "http.response.start", "status": status, "headers": pairs})

    async def write(self, body: bytes, more: bool = True) -> None:
        """Send a part of the body.

        :param body: bytes to send.
        :param more: false for the last part.
        """
        await self.send({"type": "http.response.body", "body": body, "more_body": more})
