"""Kinds of generation request."""

import enum


class GenerationKind(enum.Enum):
    """The callers' interface that a generation came by."""

    COMPLETION = "completion"
    CHAT = "chat"
