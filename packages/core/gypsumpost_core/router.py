"""Choice of an engine for each attempt."""

from collections.abc import Iterable

from result import Err, Ok, Result

from gypsumpost_core.attempt_outcome import AttemptOutcome
from gypsumpost_core.endpoint import Endpoint
from gypsumpost_core.endpoint_kind import EndpointKind
from gypsumpost_core.endpoint_status import EndpointStatus
from gypsumpost_core.engine_load import EngineLoad
from gypsumpost_core.failure import Failure
from gypsumpost_core.route_request import RouteRequest
from gypsumpost_core.run_state import RunState


class Router:
    """Holds what is known of the engines and chooses one for each attempt.

    :param failure_domain: the failure domain of this daemon.
    :param policy: name of a policy in the ``routing`` registry.
    :param seed: seed of the random choices.
    """

    def __init__(self, *, failure_domain: str, policy: str = "round-robin", seed: int = 0) -> None:
        self._failure_domain = failure_domain
        self._endpoints: dict[str, Endpoint] = {}
        self._next = 0

    def update_endpoints(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replace the list of endpoints.

        :param endpoints: all endpoints that the platform lists.
        :param now: process time in seconds.
        """
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}

    def record_load(self, name: str, load: EngineLoad, now: float) -> None:
        """Take in a load report."""

    def choose(self, request: RouteRequest, now: float) -> Result[Endpoint, Failure]:
        """Choose an engine, or say why none can take the request.

        :param request: the attempt that needs an engine.
        :param now: process time in seconds.
        """
        fitting = [e for e in self._endpoints.values() if _fits(e, request)]
        if not fitting:
            return Err(
                Failure(
                    status=503,
                    code="no_engine",
                    message=f"No engine can run model {request.model} now.",
                    run_state=RunState.NOT_RUN,
                )
            )
        self._next += 1
        return Ok(fitting[self._next % len(fitting)])

    def record_start(self, name: str, request: RouteRequest, now: float) -> None:
        """Note that an attempt was sent to an engine."""

    def record_first_token(self, name: str, request: RouteRequest, wait: float, now: float) -> None:
        """Note the time from sending an attempt to its first token, in seconds."""

    def record_tokens(self, name: str, count: int, gap: float, now: float) -> None:
        """Note tokens of an attempt and the seconds since its tokens before."""

    def record_end(
        self, name: str, request: RouteRequest, outcome: AttemptOutcome, now: float
    ) -> None:
        """Note the end of an attempt."""


def _fits(endpoint: Endpoint, request: RouteRequest) -> bool:
    if endpoint.kind is not EndpointKind.ENGINE or endpoint.status is not EndpointStatus.LIVE:
        return False
    if endpoint.name in request.excluded:
        return False
    if request.exact is not None:
        return request.exact in endpoint.models
    return any(ref.model == request.model for ref in endpoint.models)
