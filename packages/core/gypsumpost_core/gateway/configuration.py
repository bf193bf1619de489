"""Gateway configuration that operators edit."""

import attrs

from gypsumpost_core.gateway.caller_limits import CallerLimits
from gypsumpost_core.gateway.route import Route
from gypsumpost_core.gateway.service import Service
from gypsumpost_core.gateway.workspace import Workspace


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the configuration.

    :param version: version number; a later version has a higher one.
    :param routes: the routes.
    :param services: the services.
    :param workspaces: the workspaces, ``None`` if requests do not need an API key.
    :param limits: limits on requests and connections of callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...] | None
    limits: CallerLimits
