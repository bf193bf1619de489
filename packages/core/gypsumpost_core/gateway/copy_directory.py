"""Index of streams and their copies: whose callers may come back, and where to go on."""

import math
from collections.abc import Iterable, Sequence

import attrs

from gypsumpost_core.gateway.begun_streams import (
    DIGEST_BYTES,
    MEMORY_SECONDS,
    NO_DOMAIN,
    BegunStreams,
)
from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.known_stream import KnownStream
from gypsumpost_core.gateway.stream_memory import StreamMemory
from gypsumpost_core.gateway.stream_state import StreamState

COPY_SECONDS = 5.0
"""Time for which a copy is used after the last report that its stream runs; engines keep a copy
only a few seconds after its stream."""

BROKEN_REPORT_SECONDS = 3.0
"""How long a broken stream is reported to peers: several beacons."""

SWEEP_SECONDS = 1.0
"""Interval at which old streams are forgotten."""

MAX_STREAMS = 4096
"""Streams that are remembered. Of the oldest ones beyond, only the digests are."""

MAX_ID_CHARACTERS = 256
"""Longest id of a stream that is remembered; callers choose the ids."""

MAX_EVENT_DIGITS = 32
"""Longest id of an event that is compared; engines choose the ids."""


@attrs.define(kw_only=True)
class CopyDirectory:
    """Tracks the streams of this host and those that peers of its failure domain report.

    When a host fails, its callers retry at other hosts. The new host resumes the stream from the
    copy, which avoids a second prefill of the prompt. Two callers may send equal requests, so
    each stream has an entry of its own, also one without a copy: as long as its caller may come
    back, an equal request does not tell which of the streams it continues.

    :param own_id: id of this host.
    :param incarnation: this process, in Unix milliseconds of its start.
    :param remembers_since: monotonic time in seconds from which on this host has heard of all
        streams; minus infinity if there were none before it started.
    """

    own_id: str = ""
    incarnation: int = 0
    remembers_since: float = -math.inf
    begun: BegunStreams = attrs.field(factory=BegunStreams, init=False)
    _running: dict[str, CopyReport] = attrs.field(factory=dict, init=False)
    _broken: dict[str, KnownStream] = attrs.field(factory=dict, init=False)
    _peers: dict[tuple[str, int], dict[str, KnownStream]] = attrs.field(factory=dict, init=False)
    _sweep_at: float = attrs.field(default=-math.inf, init=False)

    def put(self, report: CopyReport, now: float) -> None:
        """Add a stream of this host, or replace its copy.

        :param report: the stream.
        :param now: monotonic time in seconds.
        """
        if report.request_id not in self._running:
            self.begun.announce(report.fingerprint, now)
        self._running[report.request_id] = report

    def drop(self, request_id: str) -> None:
        """Remove a stream of this host for which no caller comes back.

        :param request_id: id of the stream at the engines.
        """
        self._running.pop(request_id, None)

    def drop_broken(self, request_id: str, last_event_id: bytes, now: float) -> None:
        """Remove a stream of this host whose caller has not got all of it, and may come back.

        :param request_id: id of the stream at the engines.
        :param last_event_id: id of the last event that was passed on.
        :param now: monotonic time in seconds.
        """
        report = self._running.pop(request_id, None)
        if report is None:
            return
        self._sweep(now)
        shortened = request_id[:MAX_ID_CHARACTERS]
        broken = attrs.evolve(
            report,
            request_id=shortened,
            copy_engine=report.copy_engine if shortened == request_id else "",
            broken=True,
            last_event_id=last_event_id if len(last_event_id) <= MAX_EVENT_DIGITS else b"",
        )
        self._broken[shortened] = self._create_own(broken, now)

    def is_serving(self, fingerprint: bytes, request_id: str) -> bool:
        """Return true if this host serves a stream.

        :param fingerprint: digest of the request.
        :param request_id: id of the stream at the engines.
        """
        report = self._running.get(request_id)
        return report is not None and report.fingerprint == fingerprint

    def describe(
        self, fingerprint: bytes, request_id: str, incarnation: int, now: float
    ) -> StreamState:
        """Return the state of a stream of this host.

        :param fingerprint: digest of the request.
        :param request_id: id of the stream at the engines.
        :param incarnation: process of this host that has reported it.
        :param now: monotonic time in seconds.
        """
        if self.is_serving(fingerprint, request_id):
            return StreamState(served=True)
        broken = self._broken.get(request_id)
        others = [
            stream
            for stream in self.list_known(fingerprint, now)
            if stream.report.request_id != request_id
        ]
        return StreamState(
            served=False,
            over=broken is None and incarnation == self.incarnation,
            last_event_id=broken.report.last_event_id if broken else b"",
            sole=not others
            and self.remembers_all(now)
            and not self.begun.list_domains(fingerprint, now),
        )

    def list_own(self, now: float) -> tuple[CopyReport, ...]:
        """Return the streams to report to peers: those of this host that run or broke lately.

        :param now: monotonic time in seconds.
        """
        broken = (
            stream.report
            for stream in self._broken.values()
            if now < stream.reported_at + BROKEN_REPORT_SECONDS
        )
        return (*self._running.values(), *broken)

    def put_peer_reports(
        self, host_id: str, reports: Iterable[CopyReport], now: float, *, incarnation: int = 0
    ) -> None:
        """Add the streams of a peer, and remove those that it does not report any more.

        A stream that broke stays, as its caller may come back, and so do those of an earlier
        process of the peer.

        :param host_id: the peer.
        :param reports: the streams that it reports.
        :param now: monotonic time in seconds.
        :param incarnation: the process of the peer.
        """
        self._sweep(now)
        known = self._peers.get((host_id, incarnation), {})
        kept = {name: stream for name, stream in known.items() if stream.report.broken}
        for report in reports:
            before = known.get(report.request_id)
            if before is None:
                self.begun.announce(report.fingerprint, now)
            kept[report.request_id] = KnownStream(
                host_id=host_id,
                incarnation=incarnation,
                report=report,
                reported_at=before.reported_at if report.broken and before else now,
            )
        self._peers[host_id, incarnation] = kept

    def list_known(self, fingerprint: bytes, now: float) -> list[KnownStream]:
        """Return the streams with equal requests whose callers may come back, also running ones.

        Those that another stream has continued are left out.

        :param fingerprint: digest of the request.
        :param now: monotonic time in seconds.
        """
        return leave_out_continued(self.list_equal(fingerprint, now))

    def list_equal(self, fingerprint: bytes, now: float) -> list[KnownStream]:
        """Return all remembered streams with equal requests.

        :param fingerprint: digest of the request.
        :param now: monotonic time in seconds.
        """
        return [
            stream
            for stream in self._list_all(now)
            if stream.report.fingerprint == fingerprint
            and now < stream.reported_at + MEMORY_SECONDS
        ]

    def has_copy(self, stream: KnownStream, now: float) -> bool:
        """Return true if an engine probably still holds the copy of a stream.

        :param stream: the stream.
        :param now: monotonic time in seconds.
        """
        return bool(stream.report.copy_engine) and now < stream.reported_at + COPY_SECONDS

    def remembers_all(self, now: float) -> bool:
        """Return true if this host has run for as long as streams have to be remembered.

        :param now: monotonic time in seconds.
        """
        return now >= self.remembers_since + MEMORY_SECONDS

    def list_memory(self, now: float, fingerprint: bytes = b"") -> StreamMemory:
        """Return what this host remembers of its domain, and of others if all is asked for.

        :param now: monotonic time in seconds.
        :param fingerprint: digest of the request whose streams to return, empty for all.
        """
        complete_since = max(self.remembers_since, now - MEMORY_SECONDS)
        if fingerprint:
            equal = tuple(self.list_equal(fingerprint, now))
            return StreamMemory(complete_since=complete_since, streams=equal)
        return StreamMemory(
            complete_since=complete_since,
            streams=tuple(self._list_all(now)),
            begun_elsewhere=self.begun.list_elsewhere(),
        )

    def add_memory(self, memory: StreamMemory, now: float) -> None:
        """Add what a peer remembers, which heard of streams before this host started.

        :param memory: the memory of the peer.
        :param now: monotonic time in seconds.
        """
        for domain, digests in memory.begun_elsewhere.items():
            self.begun.put_elsewhere(domain, digests, now)
        for stream in memory.streams:
            key = (stream.host_id, stream.incarnation)
            self._peers.setdefault(key, {}).setdefault(stream.report.request_id, stream)
        self.remembers_since = min(self.remembers_since, memory.complete_since)

    def _list_all(self, now: float) -> list[KnownStream]:
        running = (self._create_own(report, now) for report in self._running.values())
        peers = (stream for streams in self._peers.values() for stream in streams.values())
        return [*running, *self._broken.values(), *peers]

    def _create_own(self, report: CopyReport, now: float) -> KnownStream:
        return KnownStream(
            host_id=self.own_id, incarnation=self.incarnation, report=report, reported_at=now
        )

    def _sweep(self, now: float) -> None:
        """Forget old streams."""
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_SECONDS
        oldest = now - MEMORY_SECONDS
        self._broken = keep_recent(self._broken, oldest)
        recent = {key: keep_recent(streams, oldest) for key, streams in self._peers.items()}
        self._peers = {key: streams for key, streams in recent.items() if streams}
        self._shorten(now)

    def _shorten(self, now: float) -> None:
        """Remember only the digests of the oldest streams if there are too many."""
        tables = [self._broken, *self._peers.values()]
        excess = sum(map(len, tables)) - MAX_STREAMS
        if excess <= 0:
            return
        entries = [(s.reported_at, name, table) for table in tables for name, s in table.items()]
        entries.sort(key=lambda entry: entry[0])
        for _, name, table in entries[:excess]:
            fingerprint = table.pop(name).report.fingerprint
            self.begun.put_elsewhere(NO_DOMAIN, [fingerprint[:DIGEST_BYTES]], now)


def leave_out_continued(streams: Sequence[KnownStream]) -> list[KnownStream]:
    """Return the streams that none of the others continues.

    :param streams: streams with equal requests.
    """
    continued = {stream.report.continues for stream in streams}
    return [stream for stream in streams if stream.report.request_id not in continued]


def keep_recent(streams: dict[str, KnownStream], oldest: float) -> dict[str, KnownStream]:
    """Return the streams that were reported at or after a time.

    :param streams: streams by id.
    :param oldest: monotonic time in seconds.
    """
    return {name: stream for name, stream in streams.items() if stream.reported_at >= oldest}
