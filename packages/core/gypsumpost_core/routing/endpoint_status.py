"""Status of an endpoint as the platform and operators give it."""

import enum


class EndpointStatus(enum.Enum):
    """Whether an endpoint may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"
