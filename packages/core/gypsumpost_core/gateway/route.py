"""A route from host and path to services."""

import attrs

from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.service_share import ServiceShare


@attrs.frozen(kw_only=True)
class Route:
    """What happens to the requests of one host and path prefix.

    :param name: name of the route.
    :param host: the host that requests name, in lower case.
    :param prefix: beginning of the paths.
    :param kind: what may be repeated.
    :param shares: the services, each with its weight.
    :param timeout: seconds after which a request gets its final answer.
    :param objective: seconds within which an answer, or the first event, is on time.
    :param max_attempts: endpoints to which one request may be sent.
    :param priority: rank among the routes, 0 first.
    :param public: true if no key is needed.
    :param resumable: true if a stream may go on at another endpoint.
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

    @property
    def repeatable(self) -> bool:
        """True if a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT
