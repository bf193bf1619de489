"""Serves the requests of one connection."""

from urllib.parse import unquote

import h11
import trio

from gypsumpost_core.memory.connection_entry import ConnectionEntry
from gypsumpost_core.memory.connection_stage import ConnectionStage
from gypsumpost_core.memory.head_cost import estimate_head
from gypsumpost_core.memory.held_kind import HeldKind
from gypsumpost_core.memory.memory_holder import MemoryHolder
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.http.asgi_application import ASGIApplication, Scope
from gypsumpost_daemon.http.end_reason import EndReason
from gypsumpost_daemon.http.http_body import create_parser
from gypsumpost_daemon.http.http_exchange import HttpExchange
from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.http.http_refusal import (
    LONG_HEAD_STATUS,
    HttpRefusal,
    RefusalReview,
    refuse_long_body,
    refuse_long_head,
    refuse_malformed,
)
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.http.transport import Transport
from gypsumpost_daemon.lifecycle.contained_errors import contains_broken_invariant
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="http")
HEAD_READ_BYTES = 8192
"""Most requests arrive in one read. What a longer read takes of a chunked body stays in the parser
until the request is answered."""

UNCOUNTED_HEAD_BYTES = 4096
"""Shorter incomplete heads are part of what each connection takes."""

SUPPORTED_VERSIONS = frozenset({b"1.0", b"1.1"})
SERVER_ERROR = HttpRefusal(
    status=500,
    code="internal_error",
    message="The daemon failed to handle the request.",
    run_state=RunState.UNKNOWN,
)


class HttpConnection:
    """Reads requests with h11 and calls the application in the connection's own task.

    :param transport: the accepted connection.
    :param application: the ASGI application.
    :param limits: the limits.
    :param scheme: ``http`` or ``https``.
    :param client: IP and port of the caller.
    :param server: IP and port of the listener.
    :param guard: counts what the connection holds.
    :param review: decides what is sent where a request exceeds a limit.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        application: ASGIApplication,
        limits: HttpLimits,
        scheme: str,
        client: tuple[str, int],
        server: tuple[str, int],
        guard: OverloadGuard,
        review: RefusalReview,
    ) -> None:
        self._transport = transport
        self._application = application
        self._limits = limits
        self._scheme = scheme
        self._client = client
        self._server = server
        self._guard = guard
        self._review = review
        self._max_head: int | None = limits.max_head
        self._parser = create_parser(limits)
        self._exchange: HttpExchange | None = None
        self._head_holder: MemoryHolder | None = None
        self._idle_scope: trio.CancelScope | None = None
        self._stopping = False
        self.entry = ConnectionEntry(progressed_at=trio.current_time())
        """The stage of the connection, by which the server chooses one to close."""

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_request():
                if self._parser.trailing_data[0]:
                    # A caller that sends many requests at once does not hold the thread.
                    await trio.lowlevel.checkpoint()
        except HttpRefusal as refusal:
            await self._refuse(refusal)
        except OSError:
            pass  # The caller has disconnected or is too slow.
        except Exception as error:
            if contains_broken_invariant(error):
                raise
            LOG.write("closed a connection after an unexpected error", error=repr(error))
        finally:
            self._release_head()
            self._transport.close()

    def stop(self) -> None:
        """Close the connection after the current request, or soon if it is idle."""
        self._stopping = True
        if self._exchange is not None:
            self._exchange.closing = True
        if self._idle_scope is not None:
            deadline = trio.current_time() + self._limits.stop_idle_seconds
            self._idle_scope.deadline = min(self._idle_scope.deadline, deadline)

    def end(self) -> None:
        """Close the connection at once."""
        self._transport.close()

    async def _serve_request(self) -> bool:
        request: h11.Request | None = None
        try:
            request = await self._read_head()
            if request is None:
                return False
            names = self._check_head(request)
        except HttpRefusal as refusal:
            headers = [] if request is None else list(request.headers)
            raise await self._review(refusal, headers) from None
        exchange = HttpExchange(
            transport=self._transport,
            parser=self._parser,
            request=request,
            limits=self._limits,
            closing=self._stopping,
            chunked=b"transfer-encoding" in names,  # h11 accepts no other coding.
            head_bytes=estimate_head(len(names)),
            guard=self._guard,
            entry=self.entry,
            review=self._review,
        )
        self._exchange = exchange
        try:
            await self._call_application(exchange, request)
        finally:
            exchange.close()
        del request  # A head of many fields is not kept while a refusal is being read.
        self._exchange = None
        reusable = exchange.reusable and self._parser.our_state is h11.DONE
        if not reusable and exchange.answered:
            await self._transport.finish()
        if reusable:
            self._prepare_next_request(exchange.next_parser)
        return reusable

    def _prepare_next_request(self, parser: h11.Connection) -> None:
        if parser is self._parser:
            parser.start_next_cycle()
        else:
            self._max_head = None
        self._parser = parser
        self.entry.enter(ConnectionStage.IDLE, trio.current_time())

    async def _read_head(self) -> h11.Request | None:
        seconds = self._limits.idle_seconds
        if self._stopping:
            seconds = self._limits.stop_idle_seconds
        deadline = trio.current_time() + seconds
        begun = False
        while True:
            received = len(self._parser.trailing_data[0])
            if received <= UNCOUNTED_HEAD_BYTES:
                event = self._parse_head()
            else:
                # A long head may take far more memory than its bytes. Long ones are parsed in
                # turns, so that what was let go for one is free before the next.
                async with self._guard.head_turns.open_turn():
                    event = self._parse_head()
            if isinstance(event, h11.Request):
                self._release_head()
                self.entry.enter(ConnectionStage.READING, trio.current_time())
                return event
            if event is not h11.NEED_DATA:
                return None
            if not begun and received:
                begun = True
                deadline = trio.current_time() + self._limits.head_seconds
                self.entry.enter(ConnectionStage.READING, trio.current_time())
            if received > UNCOUNTED_HEAD_BYTES and not self._count_head(received):
                return None
            data = await self._receive_by(deadline)
            if data is None:
                if not begun and not self._stopping and seconds < self._limits.idle_seconds:
                    # The idle limit was raised during the wait, and the caller may rely on it.
                    deadline += self._limits.idle_seconds - seconds
                    seconds = self._limits.idle_seconds
                    continue
                if begun:
                    self._guard.record_end(EndReason.SLOW_HEAD)
                return None
            self._parser.receive_data(data)

    def _count_head(self, size: int) -> bool:
        """Count an incomplete head; return false if there is no room for it."""
        if self._head_holder is None:
            self._head_holder = self._guard.hold(HeldKind.INCOMPLETE_HEAD, self._let_go_of_head)
        return self._guard.resize(self._head_holder, size)

    def _let_go_of_head(self) -> None:
        self._guard.record_end(EndReason.MEMORY)
        self._transport.close()

    def _release_head(self) -> None:
        if self._head_holder is not None:
            self._guard.account.close(self._head_holder)
            self._head_holder = None

    def _parse_head(self) -> object:
        max_head = self._limits.max_head
        if max_head != self._max_head:
            self._replace_parser()
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == LONG_HEAD_STATUS:
                raise refuse_long_head(str(error), max_head) from error
            raise refuse_malformed(str(error), error.error_status_hint) from error

    def _replace_parser(self) -> None:
        """Parse the head that is arriving by the limit in force; a parser's own is fixed."""
        received, ended = self._parser.trailing_data
        self._max_head = self._limits.max_head
        self._parser = create_parser(self._limits)
        if received:  # An empty argument means the end of the connection.
            self._parser.receive_data(received)
        if ended:
            self._parser.receive_data(b"")

    async def _receive_by(self, deadline: float) -> bytes | None:
        data = None
        with trio.CancelScope(deadline=deadline) as scope:
            self._idle_scope = scope
            data = await self._transport.receive(HEAD_READ_BYTES)
        self._idle_scope = None
        return data

    def _check_head(self, request: h11.Request) -> list[bytes]:
        """Return the names of the headers, or refuse the request."""
        if request.http_version not in SUPPORTED_VERSIONS:
            raise refuse_malformed("Only HTTP/1.0 and HTTP/1.1 are supported.", 505)
        if request.method == b"CONNECT":
            raise refuse_malformed("CONNECT is not supported.", 405)
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Request smuggling: a proxy that uses the other header may see a second request.
            raise refuse_malformed("Content-Length and Transfer-Encoding exclude each other.")
        for name, value in request.headers:
            if name == b"content-length" and int(value) > self._limits.max_body:
                self._guard.record_refusal(EndReason.LONG_BODY)
                raise refuse_long_body(self._limits.max_body)
        return names

    async def _call_application(self, exchange: HttpExchange, request: h11.Request) -> None:
        try:
            await self._application(self._create_scope(request), exchange.receive, exchange.send)
            if not exchange.answered and not exchange.disconnected and not exchange.aborted:
                LOG.write("the application returned without completing the response")
                await exchange.refuse(SERVER_ERROR)
        except Exception as error:
            if contains_broken_invariant(error):
                raise
            LOG.write("the application failed", error=repr(error))
            await exchange.refuse(SERVER_ERROR)

    def _create_scope(self, request: h11.Request) -> Scope:
        raw_path, _, query = find_path(request.target).partition(b"?")
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": request.http_version.decode("ascii"),
            "method": request.method.decode("ascii").upper(),
            "scheme": self._scheme,
            "path": unquote(raw_path.decode("latin-1")),
            "raw_path": raw_path,
            "query_string": query,
            "root_path": "",
            "headers": list(request.headers),
            "client": self._client,
            "server": self._server,
            "extensions": {},
        }

    async def _refuse(self, refusal: HttpRefusal) -> None:
        body = refusal.encode_body()
        headers = [*refusal.create_headers(body), (b"connection", b"close")]
        try:
            response = h11.Response(status_code=refusal.status, headers=headers)
            head = self._parser.send(response) or b""
            await self._transport.send(head + body)
            await self._transport.finish()
        except (OSError, h11.LocalProtocolError):
            pass  # The caller has disconnected.


def find_path(target: bytes) -> bytes:
    """Return path and query of a request target.

    :param target: the target in origin form or absolute form.
    """
    if target.startswith(b"/"):
        return target
    _, separator, rest = target.partition(b"://")
    if not separator:
        return target
    return b"/" + rest.partition(b"/")[2]
