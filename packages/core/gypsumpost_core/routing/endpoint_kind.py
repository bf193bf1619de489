"""Kinds of endpoint."""

import enum


class EndpointKind(enum.Enum):
    """What stands behind an endpoint's address."""

    ENGINE = "engine"
    SERVICE = "service"
