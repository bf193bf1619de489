"""The endpoints that this daemon knows."""

import attrs

from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus


@attrs.define(kw_only=True)
class EndpointTable:
    """Endpoints by name, as the platform lists them; those that operators stopped are leaving."""

    _listed: dict[str, Endpoint] = attrs.field(factory=dict, init=False)
    _endpoints: dict[str, Endpoint] = attrs.field(factory=dict, init=False)
    _stopped: frozenset[str] = attrs.field(default=frozenset(), init=False)

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Take in a new list.

        :param endpoints: all endpoints.
        """
        self._listed = {endpoint.name: endpoint for endpoint in endpoints}
        self._apply_stops()

    def replace_stopped(self, names: frozenset[str]) -> None:
        """Take in which endpoints operators have stopped.

        :param names: their names.
        """
        self._stopped = names
        self._apply_stops()

    def find(self, name: str) -> Endpoint | None:
        """Return an endpoint by name."""
        return self._endpoints.get(name)

    def list_all(self) -> list[Endpoint]:
        """Return all endpoints."""
        return list(self._endpoints.values())

    def list_models(self) -> list[str]:
        """Return the names of all models that engines run."""
        engines = [e for e in self._endpoints.values() if e.kind is EndpointKind.ENGINE]
        return sorted({ref.model for engine in engines for ref in engine.models})

    def _apply_stops(self) -> None:
        self._endpoints = {
            name: (
                attrs.evolve(endpoint, status=EndpointStatus.LEAVING)
                if name in self._stopped
                else endpoint
            )
            for name, endpoint in self._listed.items()
        }
