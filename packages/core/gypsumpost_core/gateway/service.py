"""Service: a group of interchangeable endpoints."""

import attrs

from gypsumpost_core.gateway.engine_limits import EngineLimits


@attrs.frozen(kw_only=True)
class Service:
    """A service of the configuration.

    :param name: name of the service.
    :param health_path: path of the health check of its endpoints.
    :param engine: limits of its engines, ``None`` if its endpoints are not engines.
    """

    name: str
    health_path: str = "/health"
    engine: EngineLimits | None = None
