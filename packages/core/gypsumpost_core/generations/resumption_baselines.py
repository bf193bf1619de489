"""Resumption policies that serve as baselines."""

from typing import ClassVar

import attrs

from gypsumpost_core.generations.resumption_policy import (
    RESUMPTION,
    ResumptionAction,
    ResumptionDecision,
    StreamState,
    find_silence_end,
    wait_until,
)

ELSEWHERE_CHECK = 1.0
"""Seconds until a missing engine elsewhere is looked for again."""


@RESUMPTION.register("continue-at-once")
@attrs.define(kw_only=True)
class ContinueAtOncePolicy:
    """Continues elsewhere as soon as a stream is lost or too silent."""

    action: ClassVar[ResumptionAction] = ResumptionAction.CONTINUE
    resume_weight: float = 1.0
    stall_limit: float = 3.0

    def decide(self, stream: StreamState) -> ResumptionDecision:
        """Return what to do now."""
        return _leave_at(stream, find_silence_end(stream), self.action)


@RESUMPTION.register("restart")
class RestartPolicy(ContinueAtOncePolicy):
    """Starts again from the first token as soon as a stream is lost or too silent."""

    action = ResumptionAction.RESTART


@RESUMPTION.register("wait-longest")
@attrs.define(kw_only=True)
class WaitLongestPolicy:
    """Leaves a connected engine only when the stall would exceed its limit."""

    resume_weight: float = 0.0
    stall_limit: float = 3.0

    def decide(self, stream: StreamState) -> ResumptionDecision:
        """Return what to do now."""
        latest = stream.last_token_at + self.stall_limit - (stream.elsewhere_time or 0.0)
        if not stream.connected and not stream.engine_down and not stream.resumes:
            return ResumptionDecision(action=ResumptionAction.RESUME, check_at=latest)
        return _leave_at(stream, latest, ResumptionAction.CONTINUE)


def _leave_at(stream: StreamState, time: float, action: ResumptionAction) -> ResumptionDecision:
    lost = not stream.connected or stream.engine_down
    if stream.elsewhere_time is None:
        return wait_until(stream, stream.now + ELSEWHERE_CHECK)
    if lost or stream.now >= time:
        return ResumptionDecision(action=action, check_at=stream.now + stream.elsewhere_time)
    return wait_until(stream, time)
