"""Reads the load reports and cache events of engines."""

from collections.abc import Callable
from typing import Any

import attrs
import trio
from result import Ok

from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.engine_load import EngineLoad
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.engines.cache_event_poller import CacheEventPoller
from gypsumpost_daemon.engines.engine_client import EngineClient

PROBE_INTERVAL = 0.25
"""Seconds between two rounds of probes."""

PROBE_SECONDS = 1.0
"""Timeout of one load report in seconds."""


@attrs.define(kw_only=True)
class EngineProber:
    """Probes the engines that the router selects and passes their reports to the router.

    :param router: selects the engines to probe and receives their reports.
    :param engines: client for calls to engines.
    :param find_endpoint: returns an endpoint by name.
    :param list_dead: returns dead engines to probe as well, so that their return is detected soon.
    """

    router: Router
    engines: EngineClient
    find_endpoint: Callable[[str], Endpoint | None]
    list_dead: Callable[[], list[str]] = list
    _cache_events: CacheEventPoller = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._cache_events = CacheEventPoller(router=self.router, engines=self.engines)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                targets = self.router.list_probe_targets(trio.current_time())
                for name in dict.fromkeys(targets + self.list_dead()):
                    endpoint = self.find_endpoint(name)
                    if endpoint is not None:
                        nursery.start_soon(self._probe, endpoint)
                await trio.sleep(PROBE_INTERVAL)

    async def _probe(self, endpoint: Endpoint) -> None:
        deadline = trio.current_time() + PROBE_SECONDS
        outcome = await self.engines.get_json(endpoint.address, "/load", deadline)
        load = parse_load(outcome.ok_value) if isinstance(outcome, Ok) else None
        if load is not None:
            self.router.record_load(endpoint.name, load, trio.current_time())
            await self._cache_events.poll(endpoint)


def parse_load(report: Any) -> EngineLoad | None:
    """Create a load report from JSON, ``None`` if it is malformed.

    :param report: the decoded JSON.
    """
    try:
        return EngineLoad(
            boot_id=str(report["boot_id"]),
            running=int(report["running"]),
            waiting=int(report["waiting"]),
            cache_used=float(report["cache_used"]),
            sampled_at=float(report["sampled_at"]),
            draining=bool(report["draining"]),
            models=tuple(
                ModelRef(**{name: str(model[name]) for name in ("model", "version", "adapter")})
                for model in report["models"]
            ),
            model_slots=int(report.get("model_slots", 0)),
        )
    except (KeyError, TypeError, ValueError):
        return None
