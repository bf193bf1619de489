"""HTTP/1.1 server for callers, based on h11 and plain sockets."""

import contextlib
import errno
import socket
import ssl
from typing import Any

import trio

from gypsumpost_core.memory.connection_choice import choose_connection
from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.http.asgi_application import ASGIApplication
from gypsumpost_daemon.http.end_reason import EndReason
from gypsumpost_daemon.http.http_connection import HttpConnection
from gypsumpost_daemon.http.http_limits import MAX_CONNECTIONS, HttpLimits
from gypsumpost_daemon.http.http_refusal import RefusalReview, keep_refusal
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.http.running_server import RunningServer
from gypsumpost_daemon.http.socket_transport import SocketTransport
from gypsumpost_daemon.http.stream_transport import StreamTransport
from gypsumpost_daemon.http.transport import Transport
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="http")
BACKLOG = 1024
ACCEPTS_PER_TURN = 64
"""After these other tasks run."""

RETRY_SECONDS = 0.1
SOCKET_BUFFER_BYTES = 64 << 10
"""Accepted connections inherit it. The kernel's default grows to megabytes for each connection, and
a slow reader of a long answer then seems to read nothing for minutes."""

OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


async def serve(
    *,
    application: ASGIApplication,
    address: str,
    max_body: int,
    tls: ssl.SSLContext | None = None,
    guard: OverloadGuard | None = None,
    max_connections: int = MAX_CONNECTIONS,
    task_status: trio.TaskStatus[RunningServer] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until the server is stopped and all requests are answered.

    :param application: the ASGI application.
    :param address: ``ip:port`` to listen on.
    :param max_body: longest accepted request body in bytes.
    :param tls: TLS context, ``None`` for plain TCP.
    :param guard: bounds what all connections of the process hold; ``None`` for default bounds.
    :param max_connections: most connections at once; idle ones are closed for new ones.
    :param task_status: receives a :class:`RunningServer`.
    """
    await serve_limited(
        application=application,
        address=address,
        limits=HttpLimits(max_body=max_body, max_connections=max_connections),
        tls=tls,
        guard=guard,
        task_status=task_status,
    )


async def serve_limited(
    *,
    application: ASGIApplication,
    address: str,
    limits: HttpLimits,
    tls: ssl.SSLContext | None = None,
    guard: OverloadGuard | None = None,
    review: RefusalReview = keep_refusal,
    task_status: trio.TaskStatus[RunningServer] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application with limits that may change while the server runs.

    :param application: the ASGI application.
    :param address: ``ip:port`` to listen on.
    :param limits: the limits; see :class:`HttpLimits` for when a change applies.
    :param tls: TLS context, ``None`` for plain TCP.
    :param guard: bounds what all connections of the process hold; ``None`` for default bounds.
    :param review: decides what is sent where a request exceeds a limit.
    :param task_status: receives a :class:`RunningServer`.
    """
    server = H11Server(
        application=application,
        limits=limits,
        tls=tls,
        guard=guard or OverloadGuard(),
        review=review,
    )
    await server.run(address, task_status)


class H11Server:
    """Owns the listener and the connections.

    :param application: the ASGI application.
    :param limits: the limits.
    :param tls: TLS context, ``None`` for plain TCP.
    :param guard: bounds what all connections hold.
    :param review: decides what is sent where a request exceeds a limit.
    """

    def __init__(
        self,
        *,
        application: ASGIApplication,
        limits: HttpLimits,
        tls: ssl.SSLContext | None,
        guard: OverloadGuard,
        review: RefusalReview,
    ) -> None:
        self._application = application
        self._limits = limits
        self._tls = tls
        self._guard = guard
        self._review = review
        self._connections: set[HttpConnection] = set()
        self._draining = False

    async def run(self, address: str, task_status: trio.TaskStatus[RunningServer]) -> None:
        """Listen and serve until stopped.

        :param address: ``ip:port`` to listen on.
        :param task_status: receives a :class:`RunningServer`.
        """
        with open_listener(address) as listener:
            running = RunningServer(address=format_address(listener.getsockname()))
            async with trio.open_nursery() as nursery:
                async with trio.open_nursery() as accepting:
                    accepting.start_soon(self._accept, listener, nursery)
                    accepting.start_soon(self._drain, running)
                    task_status.started(running)
                    await running.stop_requested.wait()
                    accepting.cancel_scope.cancel()
                for _ in range(BACKLOG // ACCEPTS_PER_TURN):
                    self._accept_pending(listener, nursery)
                trio.lowlevel.notify_closing(listener)
                listener.close()
                nursery.cancel_scope.deadline = running.stop_deadline
                for connection in list(self._connections):
                    connection.stop()
            running.ended.set()

    async def _drain(self, running: RunningServer) -> None:
        await running.drain_requested.wait()
        self._draining = True
        for connection in list(self._connections):
            connection.stop()

    async def _accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        while True:
            await trio.lowlevel.wait_readable(listener)
            if not self._accept_pending(listener, nursery):
                await trio.sleep(RETRY_SECONDS)

    def _accept_pending(self, listener: socket.socket, nursery: trio.Nursery) -> bool:
        """Accept pending connections; return false if the process is out of resources."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                accepted, peer = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in OUT_OF_RESOURCES:
                    self._close_one()
                    LOG.write("cannot accept a connection", error=str(error))
                    return False
                continue  # This connection was reset before it was accepted.
            if self._make_room():
                self._start_connection(accepted, peer[:2], nursery)
            else:
                accepted.close()
        return True

    def _make_room(self) -> bool:
        """Close a connection if there are too many; return false if a new one has no room."""
        return len(self._connections) < self._limits.max_connections or self._close_one()

    def _close_one(self) -> bool:
        """Close the connection that is least needed; return false if all are."""
        self._guard.record_end(EndReason.CONNECTIONS)
        by_entry = {connection.entry: connection for connection in self._connections}
        chosen = choose_connection(by_entry, trio.current_time())
        if chosen is None:
            return False
        self._connections.discard(by_entry[chosen])
        by_entry[chosen].end()
        return True

    def _start_connection(
        self, accepted: socket.socket, peer: tuple[str, int], nursery: trio.Nursery
    ) -> None:
        connection = HttpConnection(
            transport=self._create_transport(accepted),
            application=self._application,
            limits=self._limits,
            scheme="https" if self._tls else "http",
            client=peer,
            server=accepted.getsockname()[:2],
            guard=self._guard,
            review=self._review,
        )
        self._connections.add(connection)
        if self._draining:
            connection.stop()
        nursery.start_soon(self._run_connection, connection)

    async def _run_connection(self, connection: HttpConnection) -> None:
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def _create_transport(self, accepted: socket.socket) -> Transport:
        stall_seconds, least_rate = self._limits.stall_seconds, self._limits.least_rate
        if self._tls is None:
            return SocketTransport(
                sock=accepted, stall_seconds=stall_seconds, least_rate=least_rate, guard=self._guard
            )
        accepted.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
        secure = trio.SSLStream(stream, self._tls, server_side=True, https_compatible=True)
        return StreamTransport(stream=secure, stall_seconds=stall_seconds, guard=self._guard)


def open_listener(address: str) -> socket.socket:
    """Open a non-blocking listening socket.

    :param address: ``ip:port``; with port 0 the system chooses a port.
    """
    ip, port = split_address(address)
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    listener = socket.create_server((ip, port), family=family, backlog=BACKLOG)
    listener.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        with contextlib.suppress(OSError):
            listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return listener


def format_address(name: Any) -> str:
    """Return a socket address as ``ip:port``, with brackets around an IPv6 address.

    :param name: the result of ``getsockname``.
    """
    ip, port = name[:2]
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
