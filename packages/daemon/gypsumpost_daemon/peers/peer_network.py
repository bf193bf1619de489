"""Requests between daemons over authenticated TCP connections."""

import time
from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from gypsumpost_core.key_ring import KeyRing
from gypsumpost_daemon.addresses import split_address
from gypsumpost_daemon.connection_refusal import is_refusal
from gypsumpost_daemon.http.keep_alive import enable_keep_alive
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.peers.frame import Frame
from gypsumpost_daemon.peers.frame_decoder import FrameDecoder
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_failure import PeerFailure
from gypsumpost_daemon.peers.peer_handshake import PeerHandshake
from gypsumpost_daemon.peers.peer_link import RECEIVE_BYTES, PeerLink
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.peers.peer_tls import PeerTls
from gypsumpost_daemon.telemetry.log import CLOCK, Log

PeerHandler = Callable[[PeerRequest], Awaitable[bytes]]

LOG = Log(prefix="peer")


class PeerNetwork:
    """Accepts connections from other daemons and keeps one link to each peer that it calls.

    :param directory: the known hosts.
    :param key: the shared key of the deployment.
    :param tls: TLS below the handshake, ``None`` for plain TCP.
    """

    def __init__(
        self, *, directory: HostDirectory, key: bytes | KeyRing, tls: PeerTls | None = None
    ) -> None:
        self._directory = directory
        self._tls = tls
        self._handshake = PeerHandshake(host_id=directory.own.host_id, key=key)
        self._handlers: dict[int, PeerHandler] = {}
        self._links: dict[str, PeerLink] = {}
        self._connecting: dict[str, trio.Lock] = {}
        self._nursery: trio.Nursery | None = None

    def add_handler(self, kind: MessageKind, handler: PeerHandler) -> None:
        """Register the handler for requests of one kind.

        :param kind: the message kind.
        :param handler: called in a separate task for each request; returns the encoded reply.
        """
        self._handlers[kind] = handler

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen for peers and run the links until cancelled."""
        ip, port = split_address(self._directory.own.peer_address)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            listeners = await trio.open_tcp_listeners(port, host=ip)
            task_status.started()
            await trio.serve_listeners(self._serve_connection, listeners, handler_nursery=nursery)

    async def request(
        self, host_id: str, kind: MessageKind, payload: bytes, deadline: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request to a peer and wait for its reply.

        :param host_id: the peer.
        :param kind: message kind.
        :param payload: encoded message.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        opened: Result[PeerLink, PeerFailure] = Err(
            PeerFailure(host_id=host_id, reason="no connection before the deadline", sent=False)
        )
        with trio.move_on_at(deadline):
            opened = await self._open_link(host_id)
        if isinstance(opened, Err):
            return opened
        return await opened.ok_value.request(kind, payload, deadline)

    def drop_link(self, host_id: str) -> None:
        """Close the link to a peer that did not reply, so that the next request opens a new one.

        :param host_id: the peer.
        """
        link = self._links.pop(host_id, None)
        if link is not None:
            link.stop()

    async def _open_link(self, host_id: str) -> Result[PeerLink, PeerFailure]:
        # One task connects; others that call the same peer wait for it.
        async with self._connecting.setdefault(host_id, trio.Lock()):
            link = self._links.get(host_id)
            if link is not None and not link.closed:
                return Ok(link)
            return await self._connect(host_id)

    async def _connect(self, host_id: str) -> Result[PeerLink, PeerFailure]:
        host = self._directory.get(host_id)
        if host is None or self._nursery is None:
            return Err(PeerFailure(host_id=host_id, reason="unknown host", sent=False))
        ip, port = split_address(host.peer_address)
        try:
            tcp = await trio.open_tcp_stream(ip, port)
        except OSError as error:
            failure = PeerFailure(
                host_id=host_id, reason=str(error), sent=False, refused=is_refusal(error)
            )
            return Err(failure)
        enable_keep_alive(tcp)
        stream: trio.abc.Stream = self._tls.wrap_connected(tcp) if self._tls else tcp
        authenticated: Result[None, str] = Err("the handshake was cancelled")
        try:
            authenticated = await self._handshake.connect(stream, host_id)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            authenticated = Err(str(error.__cause__ or error))
        finally:
            if isinstance(authenticated, Err):
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
        if isinstance(authenticated, Err):
            return Err(PeerFailure(host_id=host_id, reason=authenticated.err_value, sent=False))
        link = PeerLink(host_id=host_id, stream=stream)
        self._links[host_id] = link
        self._nursery.start_soon(link.run)
        return Ok(link)

    async def _serve_connection(self, accepted_stream: trio.SocketStream) -> None:
        enable_keep_alive(accepted_stream)
        stream: trio.abc.Stream = accepted_stream
        if self._tls is not None:
            stream = self._tls.wrap_accepted(accepted_stream)
        try:
            accepted = await self._handshake.accept(stream)
            if isinstance(accepted, Err):
                LOG.write("refused a connection", reason=accepted.err_value)
                return
            await self._serve_requests(stream, accepted.ok_value)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # The peer disconnected; it is responsible for retrying its requests.
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: trio.abc.Stream, host_id: str) -> None:
        decoder = FrameDecoder()
        send_lock = trio.StrictFIFOLock()
        async with trio.open_nursery() as nursery:
            while data := await stream.receive_some(RECEIVE_BYTES):
                try:
                    frames = decoder.feed(data)
                except ValueError as error:
                    LOG.write("closed a connection", peer=host_id, reason=str(error))
                    break
                for frame in frames:
                    CLOCK.observe(frame.clock)
                    nursery.start_soon(self._serve_request, stream, send_lock, host_id, frame)
            nursery.cancel_scope.cancel()

    async def _serve_request(
        self, stream: trio.abc.Stream, send_lock: trio.StrictFIFOLock, host_id: str, frame: Frame
    ) -> None:
        handler = self._handlers.get(frame.kind)
        if handler is None:
            LOG.write("ignored a message of unknown kind", kind=frame.kind, peer=host_id)
            return
        payload: bytes | None = None
        with contain_errors(LOG, "a request of a peer", kind=frame.kind, peer=host_id):
            payload = await handler(PeerRequest(host_id=host_id, payload=frame.payload))
        if payload is None or not frame.correlation:
            return
        reply = Frame(
            kind=MessageKind.REPLY,
            correlation=frame.correlation,
            clock=CLOCK.read(time.time()),
            payload=payload,
        )
        async with send_lock:
            await stream.send_all(reply.encode())
