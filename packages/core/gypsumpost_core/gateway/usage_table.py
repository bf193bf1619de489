"""Usage of all engines."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from gypsumpost_core.gateway.engine_usage import EngineUsage
from gypsumpost_core.gateway.shared_reports import SharedReports
from gypsumpost_core.gateway.stream_usage import StreamUsage

REPORT_EXPIRY_SECONDS = 2.0
"""Time until a peer's report expires: more than two report intervals."""

UsageByEngine = Mapping[str, EngineUsage]


@attrs.define(kw_only=True)
class UsageTable:
    """Adds up the engine usage of this host, of the peers of its domain and of the other domains.

    :param reports: the usage that other hosts and domains report.
    """

    reports: SharedReports[UsageByEngine] = attrs.field(
        factory=lambda: SharedReports(seconds=REPORT_EXPIRY_SECONDS), init=False
    )
    _streams: dict[int, StreamUsage] = attrs.field(factory=dict, init=False)
    _listeners: list[Callable[[], None]] = attrs.field(factory=list, init=False)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called at each change of this host's usage."""
        self._listeners.append(listener)

    def put(self, usage: StreamUsage) -> None:
        """Count a stream until it is dropped; its fields may change meanwhile."""
        self._streams[id(usage)] = usage
        self.notify_listeners()

    def drop(self, usage: StreamUsage) -> None:
        """Stop counting a stream."""
        self._streams.pop(id(usage), None)
        self.notify_listeners()

    def notify_listeners(self) -> None:
        """Call the listeners after the usage of a stream has changed."""
        for listener in self._listeners:
            listener()

    def sum_own(self, now: float) -> dict[str, EngineUsage]:
        """Return the usage by this host for each engine.

        :param now: monotonic time in seconds.
        """
        found: dict[str, EngineUsage] = {}
        for stream in self._streams.values():
            usage = found.setdefault(stream.engine, EngineUsage())
            usage.running += 1
            usage.prefill_tokens += stream.estimate_prefill_tokens(now)
            usage.memory_tokens += stream.total_tokens
            if stream.copy_engine:
                copy = found.setdefault(stream.copy_engine, EngineUsage())
                copy.copy_tokens += stream.total_tokens
        return found

    def compute_own_part(self, now: float) -> float:
        """Return the part of this host's streams in those of all hosts, 0 to 1.

        :param now: monotonic time in seconds.
        """
        everything = sum(usage.running for usage in self.sum_all(now).values())
        return len(self._streams) / max(1, everything)

    def sum_domain(self, now: float) -> dict[str, EngineUsage]:
        """Return the usage by all hosts of this host's domain for each engine.

        :param now: monotonic time in seconds.
        """
        return add_reports(self.sum_own(now), self.reports.list_hosts(now))

    def sum_all(self, now: float) -> dict[str, EngineUsage]:
        """Return the usage by all hosts of the deployment for each engine.

        :param now: monotonic time in seconds.
        """
        return add_reports(self.sum_domain(now), self.reports.list_domains(now))


def add_reports(
    found: dict[str, EngineUsage], reports: Iterable[UsageByEngine]
) -> dict[str, EngineUsage]:
    """Add reported usage to ``found`` and return it.

    :param found: usage by engine; changed.
    :param reports: usage by engine that other hosts or domains report.
    """
    for report in reports:
        for engine, usage in report.items():
            found.setdefault(engine, EngineUsage()).add(usage)
    return found
