"""A request that asks for admission."""

import attrs

from gypsumpost_core.routing.endpoint_kind import EndpointKind


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """What admission needs to know about a request.

    :param request_id: unique id of the request.
    :param workspace: the workspace that asks.
    :param kind: ``ENGINE`` for a generation, ``SERVICE`` for a call to a plain service.
    :param priority: higher goes first.
    :param weight: share of the workspace against others of the same priority.
    :param cost: expected work, in output tokens.
    :param deadline: process time in seconds by which the answer must be complete.
    """

    request_id: str
    workspace: str
    kind: EndpointKind = EndpointKind.ENGINE
    priority: int = 0
    weight: float = 1.0
    cost: float = 200.0
    deadline: float
