"""References permitted by the plans, and the demand for them."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_daemon.engines.endpoint_table import EndpointTable

MIN_DEMAND = 1.0
"""Demand for each reference that a plan permits. A daemon sees only its own generations, so a model
without any on this daemon may be in use by another one and must not be unloaded."""


@attrs.define(kw_only=True)
class ModelDemand:
    """Computes the demand for placement from the allowances and the running generations.

    :param get_lists: returns the current lists.
    :param endpoints: the known endpoints, whose models provide versions and adapters.
    :param list_running: returns the references used by the running generations of this daemon.
    """

    get_lists: Callable[[], Lists]
    endpoints: EndpointTable
    list_running: Callable[[], Iterable[ModelRef]]

    def list_allowed(self) -> frozenset[ModelRef]:
        """Return the known references of all models that some plan permits."""
        allowances = self.get_lists().allowances.values()
        names = {model for allowance in allowances for model in allowance.models}
        known = {ref for endpoint in self.endpoints.list_all() for ref in endpoint.models}
        return frozenset(ref for ref in known if ref.model in names)

    def read_demand(self) -> Mapping[ModelRef, float]:
        """Return the demand for each reference: running generations, plus ``MIN_DEMAND``."""
        demand = dict.fromkeys(self.list_allowed(), MIN_DEMAND)
        for ref, count in Counter(self.list_running()).items():
            demand[ref] = demand.get(ref, 0.0) + count
        return demand
