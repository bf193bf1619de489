"""What a connection of a caller is doing."""

from enum import Enum


class ConnectionStage(Enum):
    """Stages of a connection, which repeat from ``IDLE`` on."""

    NEW = "new"
    """Nothing has arrived on it."""

    READING = "reading"
    """A request arrives."""

    ANSWERING = "answering"
    """A complete request is being answered."""

    IDLE = "idle"
    """A request was answered, and the next one has not begun."""
