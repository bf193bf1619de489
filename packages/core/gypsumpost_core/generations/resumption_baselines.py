"""Baseline resumption policies for comparison with the weighed one."""

from typing import ClassVar

import attrs

from gypsumpost_core.generations.resumption_policy import (
    RESUMPTION,
    ResumptionAction,
    ResumptionDecision,
    StreamState,
    compute_silence_deadline,
    wait_until,
)

ELSEWHERE_CHECK_INTERVAL = 1.0
"""Seconds between searches for another engine while there is none."""


@RESUMPTION.register("continue-at-once")
@attrs.define(kw_only=True)
class ContinueAtOncePolicy:
    """Continues on another engine when a stream is lost or its silence bound has passed."""

    action: ClassVar[ResumptionAction] = ResumptionAction.CONTINUE
    resume_weight: float = 1.0
    stall_limit: float = 3.0

    def decide(self, stream: StreamState) -> ResumptionDecision:
        """Return the action for a stream and the time of the next check."""
        return _switch_at(stream, compute_silence_deadline(stream), self.action)


@RESUMPTION.register("restart")
class RestartPolicy(ContinueAtOncePolicy):
    """Restarts from the first token when a stream is lost or its silence bound has passed."""

    action = ResumptionAction.RESTART


@RESUMPTION.register("wait-longest")
@attrs.define(kw_only=True)
class WaitLongestPolicy:
    """Abandons a connected engine only when waiting longer would exceed the stall limit.

    A lost stream is resumed once on its engine, unless that is down, before it continues elsewhere.
    """

    resume_weight: float = 0.0
    stall_limit: float = 3.0

    def decide(self, stream: StreamState) -> ResumptionDecision:
        """Return the action for a stream and the time of the next check."""
        latest = stream.last_token_at + self.stall_limit - (stream.elsewhere_time or 0.0)
        if not stream.connected and not stream.engine_down and not stream.resumes:
            return ResumptionDecision(action=ResumptionAction.RESUME, check_at=latest)
        return _switch_at(stream, latest, ResumptionAction.CONTINUE)


def _switch_at(stream: StreamState, time: float, action: ResumptionAction) -> ResumptionDecision:
    lost = not stream.connected or stream.engine_down
    if stream.elsewhere_time is None:
        return wait_until(stream, stream.now + ELSEWHERE_CHECK_INTERVAL)
    if lost or stream.now >= time:
        return ResumptionDecision(action=action, check_at=stream.now + stream.elsewhere_time)
    return wait_until(stream, time)
