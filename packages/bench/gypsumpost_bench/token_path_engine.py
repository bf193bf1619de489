"""Engine process of the token-path experiment: streams a token every 42 ms."""

import heapq
import json
import selectors
import socket
import time

import attrs

TOKEN_SECONDS = 0.042
FIRST_TOKEN_SECONDS = 0.05
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LOAD_REPORT = (
    b'{"boot_id":"1","running":0,"waiting":0,"cache_used":0,"sampled_at":0,"draining":false,'
    b'"models":[{"model":"summary","version":"1","adapter":""}]}'
)
PLAIN_RESPONSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
PROMPT = '"prompt_token_ids":[5,6,7],"offset":0'
EVENT = (
    'data: {"id":"cmpl-1","model":"model-1","offset":%d,"choices":'
    '[{"index":0,"text":"%s","token_ids":[%d],"finish_reason":null}]}\n\n'
)


@attrs.define(eq=False)
class FakeStream:
    """One request and the progress of its answer."""

    sock: socket.socket
    received: bytes = b""
    received_at: int = 0
    tokens: int = 0
    sent: int = 0
    due: float = 0.0
    plain: bool = False

    def read_request(self) -> bool:
        """Parse the received bytes; return true once the request is complete."""
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return False
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
        if len(body) < length:
            return False
        line = head.partition(b"\r\n")[0]
        self.plain = line.startswith(b"GET ") or b"/cancel " in line
        self.tokens = 0 if self.plain else json.loads(body)["max_tokens"]
        self.received_at = time.monotonic_ns()
        return True

    def create_data(self) -> bytes:
        """Return the bytes of the next token, or of the stream's end after the last one."""
        if self.sent == self.tokens:
            return b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
        text = "token "
        if not self.sent:
            text = f"{self.received_at}:{time.monotonic_ns()}"
        event = EVENT % (self.sent, text, self.sent + 1000)
        if not self.sent:
            event = event.replace('"offset":0', PROMPT)
        chunk = f"{len(event):x}\r\n{event}\r\n".encode()
        return chunk if self.sent else HEAD + chunk


class FakeEngine:
    """Serves all streams in a single selector loop."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self._listener.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._due: list[tuple[float, int, FakeStream]] = []
        self._sequence = 0

    def run(self) -> None:
        """Print the address and serve until killed."""
        print(f"127.0.0.1:{self._listener.getsockname()[1]}", flush=True)
        while True:
            timeout = max(self._due[0][0] - time.monotonic(), 0) if self._due else None
            for key, _ in self._selector.select(timeout):
                if key.data is None:
                    self._accept()
                else:
                    self._read(key.data)
            self._send_due()

    def _accept(self) -> None:
        sock, _ = self._listener.accept()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._selector.register(sock, selectors.EVENT_READ, FakeStream(sock))

    def _read(self, stream: FakeStream) -> None:
        try:
            data = stream.sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self._close(stream)
            return
        stream.received += data
        if not stream.tokens and stream.read_request():
            if stream.plain:
                stream.sock.send(PLAIN_RESPONSE % (len(LOAD_REPORT), LOAD_REPORT))
                self._close(stream)
                return
            self._schedule(stream, time.monotonic() + FIRST_TOKEN_SECONDS)

    def _schedule(self, stream: FakeStream, due: float) -> None:
        self._sequence += 1
        stream.due = due
        heapq.heappush(self._due, (due, self._sequence, stream))

    def _send_due(self) -> None:
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            _, _, stream = heapq.heappop(self._due)
            if stream.sock.fileno() >= 0:
                self._send(stream)

    def _send(self, stream: FakeStream) -> None:
        data = stream.create_data()
        try:
            complete = stream.sock.send(data) == len(data)
        except OSError:
            complete = False
        if not complete:
            self._close(stream)
            return
        stream.sent += 1
        if stream.sent <= stream.tokens:
            self._schedule(stream, stream.due + TOKEN_SECONDS)

    def _close(self, stream: FakeStream) -> None:
        if stream.sock.fileno() >= 0:
            self._selector.unregister(stream.sock)
            stream.sock.close()


if __name__ == "__main__":
    FakeEngine().run()
