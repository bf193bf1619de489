"""A service's share of the requests of a route."""

import attrs


@attrs.frozen(kw_only=True)
class ServiceShare:
    """A service that a route may use.

    :param service: name of the service.
    :param weight: its weight among the services of the route.
    """

    service: str
    weight: float
