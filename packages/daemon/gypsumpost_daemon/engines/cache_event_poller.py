"""Asks engines for their prefix cache events."""

from typing import Any

import attrs
import trio
from result import Err

from gypsumpost_core.routing.cache_event import CacheEvent, CacheEventKind
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.engines.engine_client import EngineClient

POLL_INTERVAL = 1.0
"""Shortest time in seconds between two calls to one engine."""

POLL_SECONDS = 1.0
"""Longest wait for one answer."""

CURSOR_LIMIT = 4096
"""Engines whose position in the events is remembered; the oldest go first."""


@attrs.define(kw_only=True)
class CacheEventCursor:
    """Position in the events of one engine process.

    :param boot_id: the process; another one counts from 0 again.
    :param since: sequence number of the first event to ask for.
    :param due_at: process time in seconds of the next call.
    """

    boot_id: str
    since: int = 0
    due_at: float = 0.0


@attrs.define(kw_only=True)
class CacheEventPoller:
    """Hands the cache events of engines to routing, in runs without gaps.

    :param router: takes the events.
    :param engines: calls the engines.
    """

    router: Router
    engines: EngineClient
    _cursors: dict[str, CacheEventCursor] = attrs.field(factory=dict, init=False)

    async def poll(self, endpoint: Endpoint) -> None:
        """Ask an engine for its new events, unless it was asked a moment ago.

        :param endpoint: the engine, of which a load report has just arrived.
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
    """Return the events of an answer with their sequence numbers, none if it is malformed.

    :param answer: the decoded JSON.
    :param since: events before this number are left out.
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
    """Split events at the gaps in their numbers; return the first number with each run.

    :param events: events in the order of their numbers.
    """
    runs: list[tuple[int, list[CacheEvent]]] = []
    for sequence, event in events:
        if runs and sequence == runs[-1][0] + len(runs[-1][1]):
            runs[-1][1].append(event)
        elif not runs or sequence > runs[-1][0] + len(runs[-1][1]):
            runs.append((sequence, [event]))
    return runs
