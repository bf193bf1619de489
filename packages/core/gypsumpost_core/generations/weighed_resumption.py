"""Resumption policy that weighs stall time against repeated prefill."""

import attrs

from gypsumpost_core.generations.resumption_policy import (
    RESUMPTION,
    ResumptionAction,
    ResumptionDecision,
    StreamState,
    compute_silence_deadline,
    wait_until,
)

ELSEWHERE_CHECK_INTERVAL = 0.25
"""Seconds between searches for another engine while there is none."""

ALIVE_PROBABILITY_AFTER_LOSS = 0.5
"""Probability that an engine is alive after one lost connection.

After a second loss the generation continues elsewhere.
"""

LIMIT_MARGIN = 0.2
"""Safety margin in seconds between the expected next token and the stall limit."""

STALL_EQUIVALENT_TOKENS = 4096.0
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
        silence_deadline = compute_silence_deadline(stream)
        if stream.now < silence_deadline:
            return wait_until(stream, silence_deadline)
        return self._decide_silent(stream)

    def _decide_lost(self, stream: StreamState) -> ResumptionDecision:
        can_resume = not stream.engine_down and stream.resumes == 0
        if stream.elsewhere_time is None:
            return _resume(stream) if can_resume else _wait_for_engine(stream)
        if not can_resume:
            return _continue(stream)
        resume_cost = self._compute_staying_cost(
            stream, stream.resume_time, ALIVE_PROBABILITY_AFTER_LOSS
        )
        return (
            _resume(stream)
            if resume_cost < self._compute_continuation_cost(stream)
            else _continue(stream)
        )

    def _decide_silent(self, stream: StreamState) -> ResumptionDecision:
        if stream.elsewhere_time is None:
            return _wait_for_engine(stream)
        step = stream.silence_bound / 2
        latest = stream.last_token_at + self.stall_limit - LIMIT_MARGIN - stream.elsewhere_time
        if stream.now >= latest:
            return _continue(stream)
        waiting_cost = self._compute_staying_cost(
            stream, min(step, latest - stream.now), _estimate_alive_probability(stream)
        )
        if waiting_cost < self._compute_continuation_cost(stream):
            return wait_until(stream, min(stream.now + step, latest))
        return _continue(stream)

    def _compute_continuation_cost(self, stream: StreamState) -> float:
        return self._compute_cost(stream.elsewhere_time or 0.0, _count_repeated_tokens(stream))

    def _compute_staying_cost(
        self, stream: StreamState, time: float, alive_probability: float
    ) -> float:
        stall = time + (1 - alive_probability) * (stream.elsewhere_time or 0.0)
        return self._compute_cost(stall, (1 - alive_probability) * _count_repeated_tokens(stream))

    def _compute_cost(self, stall: float, repeated_tokens: float) -> float:
        stall_cost = self.resume_weight * stall / self.stall_limit
        return stall_cost + (1 - self.resume_weight) * repeated_tokens / STALL_EQUIVALENT_TOKENS


def _estimate_alive_probability(stream: StreamState) -> float:
    # The silence bound exceeds the usual gaps, so the probability halves with each further bound.
    silence = stream.now - stream.last_token_at
    return 0.5 ** (silence / max(stream.silence_bound, 1e-3))


def _count_repeated_tokens(stream: StreamState) -> int:
    return stream.prompt_tokens + stream.output_tokens


def _resume(stream: StreamState) -> ResumptionDecision:
    check_at = stream.now + max(2 * stream.resume_time, 4 * stream.mean_gap)
    return ResumptionDecision(action=ResumptionAction.RESUME, check_at=check_at)


def _continue(stream: StreamState) -> ResumptionDecision:
    check_at = stream.now + (stream.elsewhere_time or 0.0) + stream.silence_bound
    return ResumptionDecision(action=ResumptionAction.CONTINUE, check_at=check_at)


def _wait_for_engine(stream: StreamState) -> ResumptionDecision:
    return wait_until(stream, stream.now + ELSEWHERE_CHECK_INTERVAL)
