"""Finds the route and the workspace of a request."""

from gypsumpost_core.gateway.configuration import Configuration
from gypsumpost_core.gateway.route import Route
from gypsumpost_core.gateway.service import Service
from gypsumpost_core.gateway.workspace import Workspace


class RouteTable:
    """Indexes one version of the configuration by host, service and API key.

    :param configuration: the configuration.
    """

    def __init__(self, *, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._services = {service.name: service for service in configuration.services}
        self._workspaces = {
            key: workspace for workspace in configuration.workspaces or () for key in workspace.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, ``None`` if none matches.

        :param host: value of the ``Host`` header, with or without a port.
        :param path: the path as received, without the query.
        """
        for route in self._routes.get(strip_port(host).lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name: str) -> Service | None:
        """Return a service by name, ``None`` if it does not exist."""
        return self._services.get(name)

    def list_service_names(self) -> set[str]:
        """Return the names of all services, also of those that no route uses."""
        return set(self._services)

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace of an API key, ``None`` if the key is unknown."""
        return self._workspaces.get(key)

    def list_services(self) -> set[str]:
        """Return the names of all services used by routes."""
        return {share.service for route in self.configuration.routes for share in route.shares}

    @property
    def needs_keys(self) -> bool:
        """True if requests on non-public routes need an API key."""
        return self.configuration.workspaces is not None


def strip_port(host: str) -> str:
    """Return a host name without its port, if it has one.

    :param host: the value of a ``Host`` header.
    """
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host
