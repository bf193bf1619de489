"""Timeouts after which the engine of a stream without events is checked or considered hung."""

from gypsumpost_core.gateway.endpoint_state import EndpointState

MIN_CHECK_SECONDS = 0.12
"""Minimum check delay; covers pauses in a stream while a loaded engine prefills other prompts."""

CHECK_GAP_FACTOR = 2.5
"""Multiple of the usual event interval after which an engine is checked."""

PREFILL_CHECK_SECONDS = 0.25
"""Interval of checks while the prompt is prefilled."""

HANG_SECONDS = 2.5
"""Time without an event after which an engine that still accepts connections is considered hung."""


def compute_check_delay(state: EndpointState, *, prefilling: bool) -> float:
    """Return the time without events, in seconds, after which an engine is checked.

    :param state: the engine.
    :param prefilling: true if no event has been received yet.
    """
    if prefilling:
        return PREFILL_CHECK_SECONDS
    return max(MIN_CHECK_SECONDS, CHECK_GAP_FACTOR * state.event_gap)
