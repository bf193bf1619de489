"""One request of a caller and the response to it."""

import orjson

from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.http.asgi_application import Receive, Scope, Send
from gypsumpost_daemon.http.http_exchange import ABORT, DISCONNECT

SHORT_BODY_BYTES = 64 << 10
"""A body up to this length is read before its request is refused, so that the connection can be
used again."""

Headers = list[tuple[bytes, bytes]]


class CallerExchange:
    """Reads the body and writes the response through ASGI.

    :param scope: scope of the request.
    :param receive: ASGI ``receive``.
    :param send: ASGI ``send``.
    """

    def __init__(self, *, scope: Scope, receive: Receive, send: Send) -> None:
        self.method: str = scope["method"]
        self.raw_path: bytes = scope["raw_path"]
        self.query: bytes = scope["query_string"]
        self.headers: Headers = scope["headers"]
        self._receive = receive
        self._send = send
        self.started = False
        self._status = 0
        self.final_status = 0

    @property
    def target(self) -> str:
        """Path with the query."""
        path = self.raw_path.decode("latin-1")
        return f"{path}?{self.query.decode('latin-1')}" if self.query else path

    @property
    def announces_long_body(self) -> bool:
        """True if the head does not say that a short body follows at once."""
        length = 0
        for name, value in self.headers:
            if name in (b"transfer-encoding", b"expect"):
                return True
            if name == b"content-length":
                length = int(value)
        return length > SHORT_BODY_BYTES

    async def read_body(self) -> bytes | None:
        """Return the whole body, ``None`` if the caller disconnected or the request was refused."""
        message = await self._receive()
        if message["type"] == DISCONNECT:
            return None
        # The server delivers a body whole, so that it is held once.
        body: bytes = message["body"]
        return body

    async def wait_disconnect(self) -> None:
        """Wait until the caller has disconnected."""
        while (await self._receive())["type"] != DISCONNECT:
            pass

    async def start(self, status: int, headers: Headers) -> None:
        """Begin the response.

        :param status: status code.
        :param headers: headers; without ``content-length`` the body is sent in chunks.
        """
        self.started = True
        self._status = status
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send(self, body: bytes, *, more: bool) -> None:
        """Send a part of the body.

        :param body: the part.
        :param more: false for the last part.
        """
        await self._send({"type": "http.response.body", "body": body, "more_body": more})
        if not more:
            self.final_status = self._status

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response.

        :param status: status code.
        :param headers: headers without ``content-length``.
        :param body: the body.
        """
        await self.start(status, [*headers, (b"content-length", b"%d" % len(body))])
        await self.send(body, more=False)

    async def refuse(
        self, status: int, reason: str, run_state: RunState, retry_after: float = 0.0
    ) -> None:
        """Send an error response of this host, or abort the response if it has started.

        :param status: status code.
        :param reason: one sentence for the caller.
        :param run_state: whether the request has run.
        :param retry_after: seconds after which the caller may retry, 0 for no ``retry-after``.
        """
        if self.started:
            await self.abort()
            return
        headers: Headers = [(b"content-type", b"application/json")]
        if retry_after:
            headers.append((b"retry-after", b"%.2f" % retry_after))
            # The load balancer may send the caller's next connection to a host that can serve it.
            headers.append((b"connection", b"close"))
        error = {"message": reason, "run_state": run_state.value}
        await self.respond(status, headers, orjson.dumps({"error": error}))

    async def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""
        await self._send({"type": ABORT})
