"""Next step of a call that needs a claim."""

import enum


class ClaimStep(enum.Enum):
    """The next action of a call's owner after a reply from the store.

    ``SEND``: the claim is held; send after a final check of its deadline.
    ``READ_BACK``: the claim may have been written; retry with the same nonce.
    ``WAIT``: another owner runs the call; retry after a pause.
    ``RETURN_OUTCOME``: the call has finished; return its stored outcome.
    ``ANSWER_UNKNOWN``: the owner is lost or did not finish; the call must not be run again.
    ``REFUSE_STORE``: the store does not reply; the call is not sent.
    ``REFUSE_MISMATCH``: the key was used for a different request.
    """

    SEND = "send"
    READ_BACK = "read-back"
    WAIT = "wait"
    RETURN_OUTCOME = "return-outcome"
    ANSWER_UNKNOWN = "answer-unknown"
    REFUSE_STORE = "refuse-store"
    REFUSE_MISMATCH = "refuse-mismatch"
