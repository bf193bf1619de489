"""Interface of resumption policies, which handle lost and silent streams."""

import enum
import math
from typing import Protocol

import attrs

from gypsumpost_core.registry import Registry


class ResumptionAction(enum.Enum):
    """Possible actions for a lost or silent stream.

    ``RESUME`` reopens the stream on the same engine, ``CONTINUE`` sends the output so far to
    another engine, and ``RESTART`` discards the output.
    """

    WAIT = "wait"
    RESUME = "resume"
    CONTINUE = "continue"
    RESTART = "restart"


@attrs.frozen(kw_only=True)
class StreamState:
    """Input of a resumption decision: the state of a lost or silent stream.

    :param now: monotonic time in seconds.
    :param last_token_at: monotonic time in seconds of the last token, or of the start before the
        first token.
    :param connected: true while the connection to the engine is open.
    :param engine_down: true if the engine is known to be dead or refuses connections.
    :param resumes: number of resume attempts on this engine since the last token.
    :param silence_bound: accepted silence in seconds.
    :param mean_gap: mean time between tokens on this engine in seconds.
    :param resume_time: expected seconds until a resumed stream delivers a token.
    :param elsewhere_time: expected seconds to the first token on the best other engine, ``None``
        if there is none.
    :param prompt_tokens: number of prompt tokens, which a continuation has to prefill again.
    :param output_tokens: number of output tokens so far, which a continuation has to prefill again.
    :param deadline: monotonic time in seconds by which the answer must be complete.
    """

    now: float
    last_token_at: float
    connected: bool
    engine_down: bool = False
    resumes: int = 0
    silence_bound: float
    mean_gap: float
    resume_time: float = 0.05
    elsewhere_time: float | None
    prompt_tokens: int
    output_tokens: int
    deadline: float = math.inf


@attrs.frozen(kw_only=True)
class ResumptionDecision:
    """Action to take now, and the time of the next decision if no token has arrived.

    :param action: the action.
    :param check_at: monotonic time of the next check in seconds.
    """

    action: ResumptionAction
    check_at: float


class ResumptionPolicy(Protocol):
    """Chooses the action for a lost or silent stream."""

    def decide(self, stream: StreamState) -> ResumptionDecision:
        """Return the action for a stream and the time of the next check."""
        ...


RESUMPTION: Registry[ResumptionPolicy] = Registry(behaviour="resumption")
"""Resumption policies by name; each accepts ``resume_weight`` and ``stall_limit``."""


def compute_silence_deadline(stream: StreamState) -> float:
    """Return the monotonic time in seconds at which the accepted silence of a stream ends."""
    return stream.last_token_at + stream.silence_bound


def wait_until(stream: StreamState, check_at: float) -> ResumptionDecision:
    """Return the decision to wait until a time, but not beyond the deadline of the answer."""
    earliest = stream.now + MIN_CHECK_INTERVAL
    check_at = max(earliest, min(check_at, stream.deadline))
    return ResumptionDecision(action=ResumptionAction.WAIT, check_at=check_at)


MIN_CHECK_INTERVAL = 0.02
"""Minimum seconds between checks; prevents a busy loop after the deadline has passed."""
