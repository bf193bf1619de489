"""Load process of the token-path experiment: opens streams and records when tokens arrive."""

import json
import re
import selectors
import socket
import sys
import time
from collections import defaultdict

import attrs

from gypsumpost_bench.token_path_plan import TokenPathPlan

TOKEN_PREFIX = b"data: {"
ENGINE_TIMES = re.compile(rb'"text":"(\d+):(\d+)"')
LONG_TOKENS = 100_000
SHORT_TOKENS = 20


@attrs.define(eq=False)
class LoadStream:
    """One request and the progress of its answer; times are ``time.monotonic_ns``."""

    sock: socket.socket
    kind: str
    opened_at: int
    tail: bytes = b""
    last_at: int = 0
    tokens: int = 0
    done: bool = False


class TokenPathClient:
    """Opens the streams of a plan and collects the figures.

    :param address: IP and port of the relay.
    :param plan: when to open which streams.
    """

    def __init__(self, *, address: tuple[str, int], plan: TokenPathPlan) -> None:
        self._address = address
        self._plan = plan
        self._selector = selectors.DefaultSelector()
        self._streams: list[LoadStream] = []
        self._gaps: dict[str, list[float]] = defaultdict(list)
        self._added: dict[str, list[float]] = defaultdict(list)

    def run(self) -> dict[str, object]:
        """Run the plan and return the figures; gaps and delays are in milliseconds."""
        openings = self._plan.create_openings()[::-1]
        while (now := time.monotonic()) < self._plan.end:
            if openings and openings[-1][0] <= now:
                self._open(openings.pop()[1])
            wake = min(openings[-1][0] if openings else self._plan.end, self._plan.end)
            for key, _ in self._selector.select(max(wake - time.monotonic(), 0)):
                self._read(key.data)
        short = [stream for stream in self._streams if stream.kind != "long"]
        events = SHORT_TOKENS + self._plan.end_events
        incomplete = sum(1 for stream in short if stream.tokens != events or not stream.done)
        return {"gaps": self._gaps, "added": self._added, "incomplete": incomplete}

    def _open(self, kind: str) -> None:
        opened_at = time.monotonic_ns()
        sock = socket.create_connection(self._address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tokens = LONG_TOKENS if kind == "long" else SHORT_TOKENS
        request = {"model": "summary", "prompt": "p", "max_tokens": tokens, "stream": True}
        body = json.dumps(request | {"return_token_ids": True}).encode()
        head = "POST /v1/completions HTTP/1.1\r\nHost: relay\r\nContent-Type: application/json\r\n"
        if self._plan.key:
            head += f"Authorization: Bearer {self._plan.key}\r\n"
        sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        sock.setblocking(False)
        stream = LoadStream(sock, kind, opened_at)
        self._streams.append(stream)
        self._selector.register(sock, selectors.EVENT_READ, stream)

    def _read(self, stream: LoadStream) -> None:
        data = stream.sock.recv(65536)
        now = time.monotonic_ns()
        if not data:
            self._selector.unregister(stream.sock)
            stream.sock.close()
            return
        data = stream.tail + data
        stream.tail = data[1 - len(TOKEN_PREFIX) :]
        stream.done = stream.done or b"[DONE]" in data
        count = data.count(TOKEN_PREFIX)
        if count:
            self._record(stream, data, count, now)

    def _record(self, stream: LoadStream, data: bytes, count: int, now: int) -> None:
        window = self._find_window(now / 1e9)
        if not stream.tokens:
            times = ENGINE_TIMES.search(data)
            if times:
                engine = int(times[2]) - int(times[1])
                self._added[stream.kind].append((now - stream.opened_at - engine) / 1e6)
        else:
            self._gaps[window].append((now - stream.last_at) / 1e6)
        self._gaps[window] += [0.0] * (count - 1)
        stream.last_at = now
        stream.tokens += count

    def _find_window(self, now: float) -> str:
        plan = self._plan
        if now < plan.steady_start:
            return "ramp"
        if now < plan.steady_end:
            return "steady"
        return "probe" if now < plan.burst_start else "burst"


if __name__ == "__main__":
    arguments = json.loads(sys.argv[1])
    client = TokenPathClient(
        address=tuple(arguments["address"]), plan=TokenPathPlan(**arguments["plan"])
    )
    print(json.dumps(client.run()), flush=True)
