"""Status of an endpoint as set by the platform or an operator."""

import enum


class EndpointStatus(enum.Enum):
    """Whether an endpoint may receive new requests."""

    LIVE = "live"
    LEAVING = "leaving"
