"""The interfaces that accept generation requests."""

import enum


class GenerationKind(enum.Enum):
    """The interface through which a generation was requested."""

    COMPLETION = "completion"
    CHAT = "chat"
