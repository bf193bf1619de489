"""A failed attempt to get an answer from an endpoint."""

import attrs

from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome


@attrs.frozen(kw_only=True)
class AttemptFailure:
    """An attempt that produced no answer to pass on to the caller.

    :param reason: a short description.
    :param may_have_run: false only if it is certain that the endpoint has not run the request.
    :param replaced: true if another endpoint answered at the address.
    :param outcome: what it says about the endpoint's version, ``None`` for nothing.
    :param sent: true if the endpoint may have received any part of the request.
    """

    reason: str
    may_have_run: bool
    sent: bool = True
    replaced: bool = False
    outcome: AnswerOutcome | None = None
