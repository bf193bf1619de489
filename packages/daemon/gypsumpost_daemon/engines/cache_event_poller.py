"""Polls engines for their prefix cache events."""

from typing import Any

import attrs
import trio
from result import Err

from gypsumpost_core.routing.cache_event import CacheEvent, CacheEventKind
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.engines.engine_client import EngineClient

POLL_INTERVAL = 1.0
"""Minimum time in seconds between two calls to one engine."""

POLL_SECONDS = 1.0
"""Timeout of one call in seconds."""

CURSOR_LIMIT = 4096
"""Maximum number of cursors that are kept; the oldest are evicted."""


@attrs.define(kw_only=True)
class CacheEventCursor:
    """Position in the events of one engine process.

    :param boot_id: boot id of the process; a new process numbers its events from 0 again.
    :param since: sequence number of the first event to request.
    :param due_at: monotonic time in seconds of the earliest next call.
    """

    boot_id: str
    since: int = 0
    due_at: float = 0.0


@attrs.define(kw_only=True)
class CacheEventPoller:
    """Passes the cache events of engines to the router, in runs without gaps.

    :param router: receives the events.
    :param engines: client for calls to engines.
    """

    router: Router
    engines: EngineClient
    _cursors: dict[str, CacheEventCursor] = attrs.field(factory=dict, init=False)

    async def poll(self, endpoint: Endpoint) -> None:
        """Request the new events of an engine, unless it was polled within ``POLL_INTERVAL``.

        :param endpoint: the engine, whose load report has just arrived.
        """
        now = trio.current_time()
        cursor = self._find_cursor(endpoint.name)
        if now < cursor.due_at:
            return
        cursor.due_at = now + POLL_INTERVAL
        path = f"/cache_events?since={cursor.since}"
        outcome = await self.engines.get_json(endpoint.address, path, now + POLL_SECONDS)
        if isinstance(outcome, Err) or self._find_cursor(endpoint.name) is not cursor:
            return
        for first, events in split_runs(parse_events(outcome.ok_value, cursor.since)):
            arrived_at = trio.current_time()
            self.router.record_cache_events(endpoint.name, events, first, arrived_at)
            cursor.since = first + len(events)

    def _find_cursor(self, name: str) -> CacheEventCursor:
        boot_id = self.router.get_boot_id(name) or ""
        cursor = self._cursors.get(name)
        if cursor is None or cursor.boot_id != boot_id:
            cursor = self._cursors[name] = CacheEventCursor(boot_id=boot_id)
            if len(self._cursors) > CURSOR_LIMIT:
                del self._cursors[next(iter(self._cursors))]
        return cursor


def parse_events(answer: Any, since: int) -> list[tuple[int, CacheEvent]]:
    """Return the events of a response with their sequence numbers, none if it is malformed.

    :param answer: decoded JSON of the response.
    :param since: events with a lower sequence number are ignored.
    """
    try:
        events = [
            (
                int(event["sequence"]),
                CacheEvent(
                    kind=CacheEventKind(event["kind"]), digest=int(event.get("block") or "0", 16)
                ),
            )
            for event in answer["events"]
        ]
    except (KeyError, TypeError, ValueError, AttributeError):
        return []
    return sorted((event for event in events if event[0] >= since), key=lambda event: event[0])


def split_runs(events: list[tuple[int, CacheEvent]]) -> list[tuple[int, list[CacheEvent]]]:
    """Split events at gaps in their sequence numbers.

    :param events: events, sorted by sequence number; duplicates are ignored.
    :returns: the first sequence number of each run, and its events.
    """
    runs: list[tuple[int, list[CacheEvent]]] = []
    for sequence, event in events:
        if runs and sequence == runs[-1][0] + len(runs[-1][1]):
            runs[-1][1].append(event)
        elif not runs or sequence > runs[-1][0] + len(runs[-1][1]):
            runs.append((sequence, [event]))
    return runs
