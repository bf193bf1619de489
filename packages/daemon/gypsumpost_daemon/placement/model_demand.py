"""What the plans may use and how much of it is in demand."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_daemon.engines.endpoint_table import EndpointTable

LEAST_DEMAND = 1.0
"""Demand of everything that a plan may use. Each daemon sees its own generations only, so a model
without any here can be in use by another daemon and must not be unloaded."""


@attrs.define(kw_only=True)
class ModelDemand:
    """Reads allowances and running generations for placement.

    :param get_lists: returns the lists in force.
    :param endpoints: the known endpoints, whose models give versions and adapters.
    :param list_running: returns what this daemon's running generations use.
    """

    get_lists: Callable[[], Lists]
    endpoints: EndpointTable
    list_running: Callable[[], Iterable[ModelRef]]

    def list_allowed(self) -> frozenset[ModelRef]:
        """Return the known references of all models that some plan may use."""
        allowances = self.get_lists().allowances.values()
        names = {model for allowance in allowances for model in allowance.models}
        known = {ref for endpoint in self.endpoints.list_all() for ref in endpoint.models}
        return frozenset(ref for ref in known if ref.model in names)

    def read_demand(self) -> Mapping[ModelRef, float]:
        """Return the demand for each reference."""
        demand = dict.fromkeys(self.list_allowed(), LEAST_DEMAND)
        for ref, count in Counter(self.list_running()).items():
            demand[ref] = demand.get(ref, 0.0) + count
        return demand
