"""Times of the parts of a roll-out."""

import attrs

# Engines finish most streams in this time, and callers give up on the others soon after.
MAX_DRAIN_MS = 30_000
DRAIN_PART = 0.4
# Hosts need this long to hear of the last share and to move the streams that still run.
MIN_DRAIN_MS = 3_000
RAMP_PART = 0.1
MAX_RAMP_MS = 10_000
# The last write may need several attempts at a slow store.
MIN_SPARE_MS = 1_000
SPARE_PART = 0.1
MAX_SPARE_MS = 5_000


@attrs.frozen(kw_only=True)
class RolloutPlan:
    """Times of the parts of a roll-out, in Unix milliseconds.

    The observation takes as long as the drain allows: some versions become bad late.

    :param ramp_at_ms: end of the observation with a small share.
    :param drain_at_ms: time at which a good version gets all requests.
    :param last_drain_at_ms: time after which there is too little left to drain.
    :param final_at_ms: time at which the last step is taken.
    """

    ramp_at_ms: int
    drain_at_ms: int
    last_drain_at_ms: int
    final_at_ms: int


def plan_rollout(started_at_ms: int, deadline_ms: int) -> RolloutPlan:
    """Return the times of the parts of a roll-out.

    :param started_at_ms: Unix milliseconds of the first step.
    :param deadline_ms: Unix milliseconds by which the roll-out has to end.
    """
    total = max(0, deadline_ms - started_at_ms)
    spare = min(MAX_SPARE_MS, max(MIN_SPARE_MS, SPARE_PART * total))
    drain = min(MAX_DRAIN_MS, DRAIN_PART * total)
    ramp = min(MAX_RAMP_MS, RAMP_PART * total)
    final_at = deadline_ms - spare
    return RolloutPlan(
        ramp_at_ms=int(final_at - drain - ramp),
        drain_at_ms=int(final_at - drain),
        last_drain_at_ms=int(final_at - min(drain, MIN_DRAIN_MS)),
        final_at_ms=int(final_at),
    )
