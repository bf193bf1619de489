"""HTTP/1.1 server for callers, based on h11 and plain sockets."""

import errno
import socket
import ssl
from typing import Any

import trio

from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.http.asgi_application import ASGIApplication
from gypsumpost_daemon.http.http_connection import HttpConnection
from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.http.running_server import RunningServer
from gypsumpost_daemon.http.socket_transport import SocketTransport
from gypsumpost_daemon.http.stream_transport import StreamTransport
from gypsumpost_daemon.http.transport import Transport
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="http")
BACKLOG = 1024
RETRY_SECONDS = 0.1
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


async def serve(
    *,
    application: ASGIApplication,
    address: str,
    max_body: int,
    tls: ssl.SSLContext | None = None,
    task_status: trio.TaskStatus[RunningServer] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until the server is stopped and all requests are answered.

    :param application: the ASGI application.
    :param address: ``ip:port`` to listen on.
    :param max_body: longest accepted request body in bytes.
    :param tls: TLS context, ``None`` for plain TCP.
    :param task_status: receives a :class:`RunningServer`.
    """
    await serve_limited(
        application=application,
        address=address,
        limits=HttpLimits(max_body=max_body),
        tls=tls,
        task_status=task_status,
    )


async def serve_limited(
    *,
    application: ASGIApplication,
    address: str,
    limits: HttpLimits,
    tls: ssl.SSLContext | None = None,
    task_status: trio.TaskStatus[RunningServer] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application with limits that may change while the server runs.

    :param application: the ASGI application.
    :param address: ``ip:port`` to listen on.
    :param limits: the limits; see :class:`HttpLimits` for when a change applies.
    :param tls: TLS context, ``None`` for plain TCP.
    :param task_status: receives a :class:`RunningServer`.
    """
    await H11Server(application=application, limits=limits, tls=tls).run(address, task_status)


class H11Server:
    """Owns the listener and the connections.

    :param application: the ASGI application.
    :param limits: the limits.
    :param tls: TLS context, ``None`` for plain TCP.
    """

    def __init__(
        self, *, application: ASGIApplication, limits: HttpLimits, tls: ssl.SSLContext | None
    ) -> None:
        self._application = application
        self._limits = limits
        self._tls = tls
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
        """Accept all pending connections; return false if the process is out of resources."""
        while True:
            try:
                accepted, peer = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in OUT_OF_RESOURCES:
                    LOG.write("cannot accept a connection", error=str(error))
                    return False
                continue  # This connection was reset before it was accepted.
            nursery.start_soon(self._serve_socket, accepted, peer[:2])

    async def _serve_socket(self, accepted: socket.socket, peer: tuple[str, int]) -> None:
        connection = HttpConnection(
            transport=self._create_transport(accepted),
            application=self._application,
            limits=self._limits,
            scheme="https" if self._tls else "http",
            client=peer,
            server=accepted.getsockname()[:2],
        )
        self._connections.add(connection)
        if self._draining:
            connection.stop()
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def _create_transport(self, accepted: socket.socket) -> Transport:
        stall_seconds = self._limits.stall_seconds
        if self._tls is None:
            return SocketTransport(sock=accepted, stall_seconds=stall_seconds)
        accepted.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
        secure = trio.SSLStream(stream, self._tls, server_side=True, https_compatible=True)
        return StreamTransport(stream=secure, stall_seconds=stall_seconds)


def open_listener(address: str) -> socket.socket:
    """Open a non-blocking listening socket.

    :param address: ``ip:port``; with port 0 the system chooses a port.
    """
    ip, port = split_address(address)
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    listener = socket.create_server((ip, port), family=family, backlog=BACKLOG)
    listener.setblocking(False)
    return listener


def format_address(name: Any) -> str:
    """Return a socket address as ``ip:port``, with brackets around an IPv6 address.

    :param name: the result of ``getsockname``.
    """
    ip, port = name[:2]
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
