"""The route and the workspace of a request."""

import attrs

from gypsumpost_core.gateway.route import Route


@attrs.frozen(kw_only=True)
class MatchedRoute:
    """What the head of a request selects in the configuration.

    :param route: the route.
    :param workspace: name of the workspace that holds the key, empty on a public route.
    :param priority: priority of the request, 0 is the highest.
    """

    route: Route
    workspace: str
    priority: int
