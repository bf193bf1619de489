"""The gauges of roll-outs."""

import trio

from gypsumpost_daemon.rollouts.rollout_state import RolloutState
from gypsumpost_daemon.telemetry.metrics import Metrics


def add_rollout_gauges(metrics: Metrics, *, state: RolloutState) -> None:
    """Add gauges whose values are computed at each scrape.

    :param metrics: the metrics of the process.
    :param state: what this host knows of roll-outs.
    """
    metrics.add_gauge(
        "gypsumpost_rollouts_open",
        "Roll-outs that have not ended, as far as this host knows.",
        lambda: len(state.list_open()),
    )
    metrics.add_gauge(
        "gypsumpost_rollout_confirmed_seconds",
        "Time since the decider is known to have held its lease while a roll-out is open, else 0.",
        lambda: trio.current_time() - state.confirmed_at if state.list_open() else 0.0,
    )
