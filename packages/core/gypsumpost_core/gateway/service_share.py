"""Share of a service in the requests of a route."""

import attrs


@attrs.frozen(kw_only=True)
class ServiceShare:
    """A service of a route with its weight.

    :param service: name of the service.
    :param weight: weight relative to the other services of the route.
    """

    service: str
    weight: float
