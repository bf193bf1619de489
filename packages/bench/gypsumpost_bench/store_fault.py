"""An injected fault of the stand-in store."""

import math

import attrs

from gypsumpost_bench.store_fault_kind import StoreFaultKind


@attrs.frozen(kw_only=True)
class StoreFault:
    """An injected fault.

    :param kind: kind of fault.
    :param until: time in seconds at which it ends.
    :param domain: for a partition: the failure domain whose calls are refused.
    :param delay: for a slow store: seconds added to each call.
    """

    kind: StoreFaultKind
    until: float = math.inf
    domain: str = ""
    delay: float = 0.0
