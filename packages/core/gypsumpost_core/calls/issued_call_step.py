"""Next step of a call under an issued key."""

import enum


class IssuedCallStep(enum.Enum):
    """The issuer's next action for a request under one of its keys."""

    RUN = "run"
    WAIT = "wait"
    RETURN_OUTCOME = "return-outcome"
    REFUSE_MISMATCH = "refuse-mismatch"
    REFUSE_FULL = "refuse-full"
    ANSWER_UNKNOWN = "answer-unknown"
