"""Reads the number of requests in progress on endpoints."""

from typing import Any

import attrs
import trio
from result import Err

from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_daemon.engines.engine_client import EngineClient

ASK_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class EndpointWork:
    """Reads the load reports of engines and plain services.

    :param engines: client for calls to endpoints.
    """

    engines: EngineClient

    async def ask(self, endpoint: Endpoint) -> int | None:
        """Return the number of running and queued requests, ``None`` without a valid response.

        :param endpoint: the endpoint.
        """
        deadline = trio.current_time() + ASK_SECONDS
        report = await self.engines.get_json(endpoint.address, "/load", deadline)
        return None if isinstance(report, Err) else parse_work(report.ok_value)


def parse_work(report: Any) -> int | None:
    """Return the number of running and queued requests, ``None`` if the report is malformed.

    :param report: decoded JSON of ``/load`` of an engine or a plain service.
    """
    try:
        return int(report["running"]) + int(report.get("waiting", 0))
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
