"""Why a prompt waits."""

import enum


class Obstacle(enum.Enum):
    """What keeps a prompt from being sent."""

    MEMORY = "no engine has memory for the stream"
    COPY = "no engine of another domain has memory for the copy"
    PREFILL = "the engines with memory prefill other prompts"
