"""Applies the decisions about memory and processor time to the connections of a process."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from gypsumpost_core.memory.held_kind import HeldKind
from gypsumpost_core.memory.host_bounds import MEGABYTE
from gypsumpost_core.memory.memory_account import SMALL_BYTES, MemoryAccount
from gypsumpost_core.memory.memory_holder import MemoryHolder
from gypsumpost_daemon.http.decode_turns import DecodeTurns
from gypsumpost_daemon.http.end_reason import EndReason
from gypsumpost_daemon.telemetry.line_limiter import LineLimiter
from gypsumpost_daemon.telemetry.log import Log
from gypsumpost_daemon.telemetry.metrics import Metrics

LOG = Log(prefix="overload")
LINE_SECONDS = 0.1
"""Time between two lines about the same reason; the metrics count every decision."""

DEFAULT_HELD_BYTES = 256 * MEGABYTE


class OverloadGuard:
    """The memory account and the decode turns of a process, with logs and metrics.

    :param account: counts what is held for callers and endpoints.
    :param metrics: the metrics of the process.
    """

    def __init__(
        self, *, account: MemoryAccount | None = None, metrics: Metrics | None = None
    ) -> None:
        self.account = account or MemoryAccount(bound=DEFAULT_HELD_BYTES)
        self.turns = DecodeTurns()
        self.head_turns = DecodeTurns()
        self._lines = LineLimiter(seconds=LINE_SECONDS)
        metrics = metrics or Metrics()
        self._refusals = metrics.add_counter(
            "gypsumpost_overload_refusals_total",
            "Requests refused before they were sent to an endpoint, by reason.",
            "reason",
        )
        self._ends = metrics.add_counter(
            "gypsumpost_connections_ended_total",
            "Connections of callers closed without an answer, by reason.",
            "reason",
        )
        metrics.add_gauge_family(
            "gypsumpost_held_bytes",
            "Memory held for callers and endpoints.",
            "kind",
            read=lambda: {
                (kind.value,): float(size) for kind, size in self.account.list_sizes().items()
            },
        )
        metrics.add_gauge(
            "gypsumpost_held_bytes_bound",
            "Most memory to hold for callers and endpoints.",
            lambda: self.account.bound,
        )

    def resize(self, holder: MemoryHolder, size: int) -> bool:
        """Set the size of a holder, and end those that are let go for it.

        :param holder: the holder.
        :param size: its bytes.
        :returns: false if there is no room for it.
        """
        decision = self.account.resize(holder, size, trio.current_time())
        for released in decision.released:
            self._log_release(released)
            released.end()
        return decision.allowed

    def hold(self, kind: HeldKind, end: Callable[[], None]) -> MemoryHolder:
        """Open a holder.

        :param kind: what the memory is for.
        :param end: frees the memory and ends the request or connection.
        """
        return self.account.open(kind, trio.current_time(), end)

    @contextmanager
    def count_parsed(self, size: int) -> Iterator[bool]:
        """Count the values of a parsed body until the end of the context.

        :param size: their estimated bytes.
        :returns: a context with false if there is no room for them.
        """
        if size <= SMALL_BYTES:
            yield True
            return
        holder = self.hold(HeldKind.KEPT_BODY, ignore_end)
        try:
            has_room = self.resize(holder, size)
            if not has_room:
                self.record_refusal(EndReason.MEMORY)
            yield has_room
        finally:
            self.account.close(holder)

    def record_refusal(self, reason: EndReason) -> None:
        """Count and log a request that is refused.

        :param reason: why.
        """
        self._refusals.add(reason.value)
        self._write("refused a request", reason)

    def record_end(self, reason: EndReason) -> None:
        """Count and log a connection that is closed without an answer.

        :param reason: why.
        """
        self._ends.add(reason.value)
        self._write("closed a connection", reason)

    def _write(self, message: str, reason: EndReason) -> None:
        if self._lines.allow(message + reason.value, trio.current_time()):
            LOG.write(message, reason=reason.value, held_bytes=self.account.total)

    def _log_release(self, holder: MemoryHolder) -> None:
        now = trio.current_time()
        if self._lines.allow(holder.kind.value, now):
            LOG.write(
                "let go of memory",
                kind=holder.kind.value,
                size=holder.size,
                seconds_without_progress=round(now - holder.progressed_at, 3),
                held_bytes=self.account.total,
                bound=self.account.bound,
            )


def ignore_end() -> None:
    """Do nothing: parsed bodies belong to requests under way and are not let go."""
