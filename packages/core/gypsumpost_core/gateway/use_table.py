"""The work on all engines."""

from collections.abc import Callable, Mapping

import attrs

from gypsumpost_core.gateway.engine_use import EngineUse
from gypsumpost_core.gateway.stream_use import StreamUse

REPORT_SECONDS = 2.0
"""Four times the interval of the peers' reports; older ones no longer count."""


@attrs.define(kw_only=True)
class UseTable:
    """Adds up the streams of this host, of the peers of its domain and of the other domains."""

    _streams: dict[int, StreamUse] = attrs.field(factory=dict, init=False)
    _peers: dict[str, tuple[float, Mapping[str, EngineUse]]] = attrs.field(factory=dict, init=False)
    _domains: dict[str, tuple[float, Mapping[str, EngineUse]]] = attrs.field(
        factory=dict, init=False
    )
    _listeners: list[Callable[[], None]] = attrs.field(factory=list, init=False)

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function at each change of this host's work."""
        self._listeners.append(listener)

    def put(self, use: StreamUse) -> None:
        """Count a stream until it is dropped; its fields may change meanwhile."""
        self._streams[id(use)] = use
        self.note_change()

    def drop(self, use: StreamUse) -> None:
        """Stop counting a stream."""
        self._streams.pop(id(use), None)
        self.note_change()

    def note_change(self) -> None:
        """Tell the listeners that a stream's use has changed."""
        for listener in self._listeners:
            listener()

    def take_report(self, host_id: str, use: Mapping[str, EngineUse], now: float) -> None:
        """Replace what a peer of the own domain has reported.

        :param host_id: the peer.
        :param use: its work by engine.
        :param now: process time in seconds.
        """
        self._peers[host_id] = (now + REPORT_SECONDS, use)

    def take_domain_report(self, domain: str, use: Mapping[str, EngineUse], now: float) -> None:
        """Replace what another domain has reported.

        :param domain: name of the domain.
        :param use: the work of its hosts by engine.
        :param now: process time in seconds.
        """
        self._domains[domain] = (now + REPORT_SECONDS, use)

    def sum_own(self) -> dict[str, EngineUse]:
        """Return the work of this host by engine."""
        found: dict[str, EngineUse] = {}
        for stream in self._streams.values():
            use = found.setdefault(stream.engine, EngineUse())
            use.running += 1
            use.reading_tokens += stream.prompt_tokens if stream.reading else 0
            use.memory_tokens += stream.total_tokens
            if stream.copy_engine:
                copy = found.setdefault(stream.copy_engine, EngineUse())
                copy.copy_tokens += stream.total_tokens
        return found

    def sum_domain(self, now: float) -> dict[str, EngineUse]:
        """Return the work of the hosts of the own domain by engine.

        :param now: process time in seconds.
        """
        found = self.sum_own()
        add_reports(found, self._peers, now)
        return found

    def sum_all(self, now: float) -> dict[str, EngineUse]:
        """Return the work of all hosts by engine.

        :param now: process time in seconds.
        """
        found = self.sum_domain(now)
        add_reports(found, self._domains, now)
        return found


def add_reports(
    found: dict[str, EngineUse],
    reports: dict[str, tuple[float, Mapping[str, EngineUse]]],
    now: float,
) -> None:
    """Add the work that others report, and forget reports that are too old.

    :param found: work by engine; changed.
    :param reports: for each source the time at which its report expires, and the report.
    :param now: process time in seconds.
    """
    for source, (expires_at, report) in list(reports.items()):
        if expires_at < now:
            del reports[source]
            continue
        for engine, use in report.items():
            found.setdefault(engine, EngineUse()).add(use)
