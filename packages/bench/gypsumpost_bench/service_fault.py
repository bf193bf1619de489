"""An injected fault of the stand-in service."""

import math

import attrs

from gypsumpost_bench.service_fault_kind import ServiceFaultKind


@attrs.frozen(kw_only=True)
class ServiceFault:
    """An injected fault; a new one replaces the previous one.

    :param kind: kind of fault.
    :param until: time in seconds at which it ends.
    :param delay: for a slow service: seconds between running a call and its answer.
    """

    kind: ServiceFaultKind
    until: float = math.inf
    delay: float = 0.0
