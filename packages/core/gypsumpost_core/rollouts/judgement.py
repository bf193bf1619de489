"""Verdict on a version and the numbers behind it."""

import attrs

from gypsumpost_core.rollouts.verdict import Verdict


@attrs.frozen(kw_only=True)
class Judgement:
    """Verdict on a version and the numbers behind it.

    :param verdict: the verdict.
    :param answers: answers and overdue requests of the version.
    :param usual_answers: how many of its requests the other versions would have answered by now.
    :param bad: those that failed or were slow, on the route and in the respect that decides.
    :param expected: how many would have been bad at the other versions.
    :param reason: one line for operators.
    """

    verdict: Verdict
    answers: int
    usual_answers: float = 0.0
    bad: int = 0
    expected: float = 0.0
    reason: str = ""
