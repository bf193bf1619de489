"""Route from a host and path prefix to services."""

import attrs

from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.service_share import ServiceShare


@attrs.frozen(kw_only=True)
class Route:
    """Services and limits for the requests with one host name and path prefix.

    :param name: name of the route.
    :param host: host name of the requests, in lower case.
    :param prefix: prefix of the request paths.
    :param kind: kind of the requests, which determines whether they may be retried.
    :param shares: the services, each with its weight.
    :param timeout: seconds after which a request is answered at the latest.
    :param objective: target latency in seconds of an answer, or of the first event of a stream.
    :param pause_objective: longest pause in seconds between two events of a stream that is on time,
        ``None`` if the route names none.
    :param max_attempts: maximum number of endpoints to which one request is sent.
    :param priority: rank among the routes; 0 is the highest priority.
    :param public: true if requests do not need an API key.
    :param resumable: true if a stream may be resumed at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    objective: float
    max_attempts: int
    priority: int = 5
    public: bool = False
    resumable: bool = False
    pause_objective: float | None = None

    @property
    def retryable(self) -> bool:
        """True if a request may be run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT
