"""Failure of a request that no engine can run."""

from gypsumpost_core.failure import Failure
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_core.run_state import RunState


def refuse_without_engine(request: RouteRequest) -> Failure:
    """Return the failure of an attempt for which no engine is available.

    :param request: the attempt.
    """
    return Failure(
        status=503,
        code="no_engine",
        message=f"No engine can run model {request.model} now.",
        run_state=RunState.NOT_RUN,
    )
