"""What to do with a generation whose stream is lost or silent."""

import enum
import math
from typing import Protocol

import attrs

from gypsumpost_core.registry import Registry


class ResumptionAction(enum.Enum):
    """The choices for a stream that is lost or silent."""

    WAIT = "wait"
    RESUME = "resume"
    CONTINUE = "continue"
    RESTART = "restart"


@attrs.frozen(kw_only=True)
class StreamState:
    """A generation whose stream is lost or silent.

    :param now: process time in seconds.
    :param last_token_at: process time of the last token, or of the start before the first token.
    :param connected: true while the connection to the engine is open.
    :param engine_down: true if the engine is known to be dead or refuses connections.
    :param resumes: resumptions tried on this engine since the last token.
    :param silence_bound: accepted silence in seconds.
    :param mean_gap: mean seconds between tokens on this engine.
    :param resume_time: expected seconds until a resumed stream brings a token.
    :param elsewhere_time: expected seconds to the first token on the best other engine, ``None``
        if there is none.
    :param prompt_tokens: prompt tokens, which a continuation prefills again.
    :param output_tokens: output tokens so far, which a continuation prefills again.
    :param deadline: process time by which the answer must be complete.
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
    """What to do now, and when to ask again if no token has come.

    :param action: what to do.
    :param check_at: process time of the next check in seconds.
    """

    action: ResumptionAction
    check_at: float


class ResumptionPolicy(Protocol):
    """Decides about a stream that is lost or silent."""

    def decide(self, stream: StreamState) -> ResumptionDecision:
        """Return what to do now."""
        ...


RESUMPTION: Registry[ResumptionPolicy] = Registry(behaviour="resumption")
"""Resumption policies by name; each takes ``resume_weight`` and ``stall_limit``."""


def find_silence_end(stream: StreamState) -> float:
    """Return the process time at which the silence of a stream is no longer accepted."""
    return stream.last_token_at + stream.silence_bound


def wait_until(stream: StreamState, check_at: float) -> ResumptionDecision:
    """Return the decision to wait, with a check before the deadline of the answer."""
    earliest = stream.now + MIN_CHECK_INTERVAL
    check_at = max(earliest, min(check_at, stream.deadline))
    return ResumptionDecision(action=ResumptionAction.WAIT, check_at=check_at)


MIN_CHECK_INTERVAL = 0.02
"""Seconds between checks at least, so that a passed deadline causes no busy loop."""
