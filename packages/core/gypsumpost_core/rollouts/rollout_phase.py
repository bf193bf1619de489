"""Phase of a roll-out."""

import enum


class RolloutPhase(enum.Enum):
    """Phase of a roll-out; all but ``RUNNING`` are final for its order."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"
