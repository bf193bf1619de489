"""Adapts an application to servers without a body limit that send lifespan events."""

from gypsumpost_daemon.http.asgi_application import ASGIApplication, Message, Receive, Scope, Send
from gypsumpost_daemon.http.asgi_lifespan import complete_lifespan
from gypsumpost_daemon.http.http_refusal import refuse_long_body


def limit_body(application: ASGIApplication, max_body: int) -> ASGIApplication:
    """Return an application that answers 413 if the request body is too long.

    :param application: the ASGI application.
    :param max_body: longest accepted body in bytes.
    """

    async def call(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await complete_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        if declares_long_body(scope, max_body):
            await send_refusal(send, max_body)
            return
        await application(scope, LimitedReceive(receive, send, max_body), send)

    return call


class LimitedReceive:
    """Counts the bytes of the body; once it is too long, answers 413 and reports a disconnect."""

    def __init__(self, receive: Receive, send: Send, max_body: int) -> None:
        self._receive = receive
        self._send = send
        self._max_body = max_body
        self._size = 0

    async def __call__(self) -> Message:
        """Return the next message of the request."""
        if self._size > self._max_body:
            return {"type": "http.disconnect"}
        message = await self._receive()
        self._size += len(message.get("body", b""))
        if self._size <= self._max_body:
            return message
        await send_refusal(self._send, self._max_body)
        return {"type": "http.disconnect"}


def declares_long_body(scope: Scope, max_body: int) -> bool:
    """Return true if the request's ``Content-Length`` is above the limit.

    :param scope: the ASGI scope.
    :param max_body: longest accepted body in bytes.
    """
    lengths = [value for name, value in scope["headers"] if name == b"content-length"]
    return any(value.isdigit() and int(value) > max_body for value in lengths)


async def send_refusal(send: Send, max_body: int) -> None:
    """Send the 413 response to a body that is too long.

    :param send: the ASGI ``send`` of the request.
    :param max_body: longest accepted body in bytes.
    """
    refusal = refuse_long_body(max_body)
    body = refusal.encode_body()
    headers = [*refusal.create_headers(body), (b"connection", b"close")]
    await send({"type": "http.response.start", "status": refusal.status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
