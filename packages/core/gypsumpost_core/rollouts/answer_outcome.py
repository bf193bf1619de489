"""How a request at an endpoint ended, as evidence about its version."""

import enum


class AnswerOutcome(enum.Enum):
    """How a request at an endpoint ended.

    A connection that fails, a caller that leaves and a refusal of an endpoint without room say
    nothing about a version and are not recorded.
    """

    SERVED = "served"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
