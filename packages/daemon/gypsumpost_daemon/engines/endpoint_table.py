"""The endpoints known to this daemon."""

import attrs

from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus


@attrs.define(kw_only=True)
class EndpointTable:
    """Endpoints by name from the platform's list; those stopped by operators are leaving."""

    _listed: dict[str, Endpoint] = attrs.field(factory=dict, init=False)
    _endpoints: dict[str, Endpoint] = attrs.field(factory=dict, init=False)
    _stopped: frozenset[str] = attrs.field(default=frozenset(), init=False)

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Replace the platform's list.

        :param endpoints: all listed endpoints.
        """
        self._listed = {endpoint.name: endpoint for endpoint in endpoints}
        self._apply_stops()

    def replace_stopped(self, names: frozenset[str]) -> None:
        """Replace the set of endpoints stopped by operators.

        :param names: their names; unlisted ones are kept for later lists.
        """
        self._stopped = names
        self._apply_stops()

    def find(self, name: str) -> Endpoint | None:
        """Return an endpoint by name, ``None`` if it is not listed."""
        return self._endpoints.get(name)

    def list_all(self) -> list[Endpoint]:
        """Return all endpoints."""
        return list(self._endpoints.values())

    def list_models(self) -> list[str]:
        """Return the sorted names of all models that engines have loaded."""
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
