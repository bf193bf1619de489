"""Next step of a call that needs a claim."""

import enum


class ClaimStep(enum.Enum):
    """What the owner of a call does after an answer of the store.

    ``SEND``: the claim is held; send after the last check of its deadline.
    ``READ_BACK``: the claim may have been written; ask again with the same nonce.
    ``WAIT``: another owner runs the call; ask again a little later.
    ``RETURN_OUTCOME``: the call is done.
    ``ANSWER_UNKNOWN``: the owner is lost or did not finish; nobody may run the call again.
    ``REFUSE_STORE``: the store does not answer; the call is not sent.
    ``REFUSE_MISMATCH``: another request was made under this key.
    """

    SEND = "send"
    READ_BACK = "read-back"
    WAIT = "wait"
    RETURN_OUTCOME = "return-outcome"
    ANSWER_UNKNOWN = "answer-unknown"
    REFUSE_STORE = "refuse-store"
    REFUSE_MISMATCH = "refuse-mismatch"
