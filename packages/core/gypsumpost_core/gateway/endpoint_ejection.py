"""Leaves endpoints that fail one call after the other out of the choice, except for test calls."""

from collections.abc import Sequence

from gypsumpost_core.gateway.endpoint_state import EndpointState


def exclude_ejected(states: Sequence[EndpointState]) -> list[EndpointState]:
    """Return the endpoints that are not ejected, or all where all are.

    :param states: endpoints that may get a call.
    """
    return [state for state in states if not state.call_failures.ejected] or list(states)


def find_test_endpoint(states: Sequence[EndpointState], now: float) -> EndpointState | None:
    """Return the ejected endpoint that the next call is to test, ``None`` if no test is due.

    No test is due where all are ejected: they are ranked as usual then, and each call is a test.

    :param states: endpoints that may get the call.
    :param now: monotonic time in seconds.
    """
    due = [state for state in states if state.call_failures.is_test_due(now)]
    if not due or all(state.call_failures.ejected for state in states):
        return None
    return min(due, key=lambda state: state.call_failures.test_at)


def record_choice(states: Sequence[EndpointState], chosen: EndpointState, now: float) -> None:
    """Record a call to one endpoint, at the ejected ones among those that could get it.

    :param states: endpoints that could get the call.
    :param chosen: the endpoint that gets it.
    :param now: monotonic time in seconds.
    """
    ejected = [state for state in states if state.call_failures.ejected]
    others_remain = any(not (state.lost or state.call_failures.ejected) for state in states)
    if not (chosen.call_failures.ejected and others_remain):
        for state in ejected:
            state.call_failures.passed += 1
        return
    # All count from here, so that the share of test calls does not grow with the number of ejected
    # endpoints.
    for state in ejected:
        state.call_failures.passed = 0
    chosen.call_failures.begin_test(now)
