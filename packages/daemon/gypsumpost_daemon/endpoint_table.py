"""The endpoints that this daemon knows."""

import attrs

from gypsumpost_core.endpoint import Endpoint
from gypsumpost_core.endpoint_kind import EndpointKind


@attrs.define(kw_only=True)
class EndpointTable:
    """Endpoints by name, as the platform lists them."""

    _endpoints: dict[str, Endpoint] = attrs.field(factory=dict, init=False)

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Take in a new list.

        :param endpoints: all endpoints.
        """
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}

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
