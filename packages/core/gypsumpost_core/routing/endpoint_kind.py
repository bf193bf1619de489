"""Kinds of endpoint."""

import enum


class EndpointKind(enum.Enum):
    """Whether an endpoint is a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"
