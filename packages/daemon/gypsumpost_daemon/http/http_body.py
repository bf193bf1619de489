"""Reads the body of one request."""

import h11
import trio

from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.http.http_refusal import refuse_long_body, refuse_malformed
from gypsumpost_daemon.http.transport import Transport


class HttpBody:
    """The body of the current request of a connection.

    :param transport: the connection.
    :param parser: h11 state of the connection after the request's headers.
    :param limits: the limits.
    """

    def __init__(self, *, transport: Transport, parser: h11.Connection, limits: HttpLimits) -> None:
        self._transport = transport
        self._parser = parser
        self._limits = limits
        self._size = 0
        self.complete = False

    async def read_part(self) -> bytes:
        """Return the next part of the body; :attr:`complete` is true after the last part.

        :raises HttpRefusal: if the body is malformed or too long.
        :raises OSError: if the connection is lost or the caller sends nothing for too long.
        """
        parts: list[bytes] = []
        while not self.complete:
            event = self._next_event()
            if isinstance(event, h11.Data):
                self._count(len(event.data))
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
            elif parts:
                break
            else:
                await self._receive()
        return b"".join(parts)

    def _next_event(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise refuse_malformed(str(error), error.error_status_hint) from error

    def _count(self, size: int) -> None:
        self._size += size
        if self._size > self._limits.max_body:
            raise refuse_long_body(self._limits.max_body)

    async def _receive(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            head = self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self._transport.send(head or b"")
        with trio.move_on_at(trio.current_time() + self._limits.body_seconds) as scope:
            self._parser.receive_data(await self._transport.receive())
        if scope.cancelled_caught:
            raise TimeoutError("the caller stopped sending the body")
