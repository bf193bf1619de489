"""Resumption policy that weighs stall time against repeated prefill."""

import attrs

from gypsumpost_core.generations.resumption_policy import (
    RESUMPTION,
    ResumptionAction,
    ResumptionDecision,
    StreamState,
    find_silence_end,
    wait_until,
)

ELSEWHERE_CHECK = 0.25
"""Seconds between searches for another engine while there is none."""

LOST_CONNECTION_LIFE = 0.5
"""Probability that an engine is alive after one lost connection.

After a second loss the generation continues elsewhere.
"""

LIMIT_MARGIN = 0.2
"""Safety margin in seconds between the expected next token and the stall limit."""

LONG_CONTEXT = 4096.0
"""Number of repeated prefill tokens with the same cost as a stall of the full limit."""


@RESUMPTION.register("weighed")
@attrs.define(kw_only=True)
class WeighedPolicy:
    """Chooses the action with the lowest weighted sum of expected stall and repeated prefill.

    With any weight, a generation abandons a silent engine early enough to continue elsewhere within
    the stall limit.

    :param resume_weight: weight of the stall from 0 to 1; repeated prefill has the weight
        ``1 - resume_weight``.
    :param stall_limit: longest stall in seconds that callers tolerate.
    """

    resume_weight: float = 0.8
    stall_limit: float = 3.0

    def decide(self, stream: StreamState) -> ResumptionDecision:
        """Return the action for a stream and the time of the next check."""
        if not stream.connected or stream.engine_down:
            return self._decide_lost(stream)
        silence_end = find_silence_end(stream)
        if stream.now < silence_end:
            return wait_until(stream, silence_end)
        return self._decide_silent(stream)

    def _decide_lost(self, stream: StreamState) -> ResumptionDecision:
        can_resume = not stream.engine_down and stream.resumes == 0
        if stream.elsewhere_time is None:
            return _resume(stream) if can_resume else _await_engine(stream)
        if not can_resume:
            return _continue(stream)
        resumed = self._weigh_try(stream, stream.resume_time, LOST_CONNECTION_LIFE)
        return _resume(stream) if resumed < self._weigh_leaving(stream) else _continue(stream)

    def _decide_silent(self, stream: StreamState) -> ResumptionDecision:
        if stream.elsewhere_time is None:
            return _await_engine(stream)
        step = stream.silence_bound / 2
        latest = stream.last_token_at + self.stall_limit - LIMIT_MARGIN - stream.elsewhere_time
        if stream.now >= latest:
            return _continue(stream)
        waited = self._weigh_try(stream, min(step, latest - stream.now), _estimate_life(stream))
        if waited < self._weigh_leaving(stream):
            return wait_until(stream, min(stream.now + step, latest))
        return _continue(stream)

    def _weigh_leaving(self, stream: StreamState) -> float:
        return self._weigh(stream.elsewhere_time or 0.0, _count_redone(stream))

    def _weigh_try(self, stream: StreamState, time: float, life: float) -> float:
        stall = time + (1 - life) * (stream.elsewhere_time or 0.0)
        return self._weigh(stall, (1 - life) * _count_redone(stream))

    def _weigh(self, stall: float, redone: float) -> float:
        stall_part = self.resume_weight * stall / self.stall_limit
        return stall_part + (1 - self.resume_weight) * redone / LONG_CONTEXT


def _estimate_life(stream: StreamState) -> float:
    # The silence bound exceeds the usual gaps, so the probability halves with each further bound.
    silence = stream.now - stream.last_token_at
    return 0.5 ** (silence / max(stream.silence_bound, 1e-3))


def _count_redone(stream: StreamState) -> int:
    return stream.prompt_tokens + stream.output_tokens


def _resume(stream: StreamState) -> ResumptionDecision:
    check_at = stream.now + max(2 * stream.resume_time, 4 * stream.mean_gap)
    return ResumptionDecision(action=ResumptionAction.RESUME, check_at=check_at)


def _continue(stream: StreamState) -> ResumptionDecision:
    check_at = stream.now + (stream.elsewhere_time or 0.0) + stream.silence_bound
    return ResumptionDecision(action=ResumptionAction.CONTINUE, check_at=check_at)


def _await_engine(stream: StreamState) -> ResumptionDecision:
    return wait_until(stream, stream.now + ELSEWHERE_CHECK)
