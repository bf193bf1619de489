"""Input of admission control."""

import attrs

from gypsumpost_core.routing.endpoint_kind import EndpointKind


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """The properties of a request that admission depends on.

    :param request_id: unique id of the request.
    :param workspace: the workspace that sent it.
    :param kind: ``ENGINE`` for a generation, ``SERVICE`` for a call to a plain service.
    :param priority: higher values start first.
    :param weight: weight of the workspace relative to others of the same priority.
    :param cost: expected number of output tokens.
    :param deadline: monotonic time in seconds by which the answer must be complete.
    """

    request_id: str
    workspace: str
    kind: EndpointKind = EndpointKind.ENGINE
    priority: int = 0
    weight: float = 1.0
    cost: float = 200.0
    deadline: float
