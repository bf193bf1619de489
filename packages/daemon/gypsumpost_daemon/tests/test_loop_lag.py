"""Tests of the lateness of tasks."""

import time

import trio

from gypsumpost_daemon.telemetry.loop_lag import WINDOW_SECONDS, LoopLag

BLOCKED_SECONDS = 0.3


async def test_a_task_that_holds_the_loop_is_seen_and_forgotten(nursery):
    """Guards against a host that is late and whose logs do not show it."""
    lag = LoopLag()
    nursery.start_soon(lag.run)
    await trio.sleep(0.05)
    time.sleep(BLOCKED_SECONDS)
    await trio.sleep(0.15)
    assert BLOCKED_SECONDS / 2 < lag.seconds < 3 * BLOCKED_SECONDS
    await trio.sleep(3 * WINDOW_SECONDS)
    assert lag.seconds < BLOCKED_SECONDS / 2
