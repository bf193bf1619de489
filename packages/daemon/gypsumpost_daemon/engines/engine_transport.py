"""Interface and registry of transports for requests to endpoints."""

from typing import Protocol

from result import Result

from gypsumpost_core.registry import Registry
from gypsumpost_daemon.engines.engine_failure import EngineFailure
from gypsumpost_daemon.engines.engine_request import EngineRequest
from gypsumpost_daemon.engines.engine_response import EngineResponse


class EngineTransport(Protocol):
    """Sends requests and returns responses of any status."""

    async def send(self, request: EngineRequest) -> Result[EngineResponse, EngineFailure]:
        """Send a request and wait for the response's headers."""

    async def aclose(self) -> None:
        """Close idle connections."""


ENGINE_TRANSPORTS: Registry[EngineTransport] = Registry(behaviour="engine-transport")
