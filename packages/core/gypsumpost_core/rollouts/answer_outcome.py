"""How a request at an endpoint ended, as evidence about its version."""

import enum


class AnswerOutcome(enum.Enum):
    """How a request at an endpoint ended.

    ``TIMED_OUT`` also means that an endpoint which can be reached has given no sign of an answer.

    A connection that fails, a caller that leaves and a refusal of an endpoint without room say
    nothing about a version and are not recorded.
    """

    SERVED = "served"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
