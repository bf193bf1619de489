"""How long a stream may be silent before its engine is checked and given up."""

from gypsumpost_core.gateway.endpoint_state import EndpointState

CHECK_FLOOR_SECONDS = 0.12
"""Covers the pauses that prompts read beside a stream cause on a loaded engine."""

CHECK_GAPS = 2.5
"""Usual pauses after which an engine is checked."""

READING_CHECK_SECONDS = 0.25
"""Interval of checks while a prompt is read."""

HANG_SECONDS = 2.5
"""An engine that accepts connections but sends no event this long hangs."""


def compute_check_delay(state: EndpointState, *, reading: bool) -> float:
    """Return the silence in seconds after which an engine is checked.

    :param state: the engine.
    :param reading: true if no event has come yet.
    """
    if reading:
        return READING_CHECK_SECONDS
    return max(CHECK_FLOOR_SECONDS, CHECK_GAPS * state.event_gap)
