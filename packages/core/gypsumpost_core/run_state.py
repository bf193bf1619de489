"""What is known about the execution of a request."""

import enum


class RunState(enum.Enum):
    """Whether an endpoint ran a request.

    ``NOT_RUN`` is a guarantee: it is used only if it is certain that no endpoint ran the request.
    """

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"
