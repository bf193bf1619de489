"""The gauges of a gateway."""

from collections.abc import Callable

import trio

from gypsumpost_core.limits.request_limits import RequestLimits
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.store_follower import StoreFollower
from gypsumpost_daemon.limits.limit_gauges import add_limit_gauges
from gypsumpost_daemon.rollouts.rollout_gauges import add_rollout_gauges
from gypsumpost_daemon.telemetry.metrics import Metrics


def add_gauges(
    metrics: Metrics,
    *,
    follower: StoreFollower,
    context: ForwardContext,
    limits: RequestLimits,
    count_open: Callable[[], int],
) -> None:
    """Add gauges whose values are computed at each scrape.

    :param metrics: the metrics of the process.
    :param follower: follows the store.
    :param context: directory and budgets.
    :param limits: the limits on requests.
    :param count_open: returns the number of requests in progress.
    """
    add, directory = metrics.add_gauge, context.directory
    add("gypsumpost_store_calls", "Calls to the store.", lambda: follower.calls)
    add(
        "gypsumpost_store_silent_seconds",
        "Time since the store's last answer while it does not answer, else 0.",
        lambda: trio.current_time() - follower.answered_at if follower.lost else 0.0,
    )
    add(
        "gypsumpost_store_watching",
        "1 if this host watches the store and the store answers, else 0.",
        lambda: float(follower.watching),
    )
    add(
        "gypsumpost_gateway_retry_budget_left",
        "Repeated sends left to the service that has least.",
        lambda: context.retry_budget.compute_lowest_remaining(trio.current_time()),
    )
    add("gypsumpost_store_era", "Believed era of the store.", lambda: directory.era_belief.era)
    add(
        "gypsumpost_store_restores",
        "Restores of the store that this host has seen, counted for each prefix.",
        lambda: sum(table.restores for table in directory.tables.values()),
    )
    add(
        "gypsumpost_configuration_version",
        "Version of the configuration in force.",
        lambda: directory.version,
    )
    add(
        "gypsumpost_configuration_unread",
        "1 if this host cannot decode a stored configuration that is newer than the one in force.",
        lambda: float(directory.is_configuration_unread),
    )
    add(
        "gypsumpost_configuration_behind_seconds",
        "Time for which a peer has had a newer configuration in force, 0 if none is known.",
        directory.freshness.compute_lag,
    )
    add(
        "gypsumpost_store_watch_seconds",
        "Time for which the oldest open watch has waited for an answer, 0 if none is open.",
        lambda: max(follower.compute_watch_age(prefix) for prefix in directory.tables),
    )
    add(
        "gypsumpost_loop_lag_seconds",
        "Greatest lateness of the tasks of this process in the last second.",
        lambda: context.loop_lag.seconds,
    )
    add(
        "gypsumpost_configuration_confirmed_seconds",
        "Time since the store has confirmed that no newer configuration exists.",
        directory.freshness.compute_confirmation_age,
    )
    add("gypsumpost_hosts_live", "Live hosts, this one included.", context.count_hosts)
    add(
        "gypsumpost_endpoints_lost",
        "Endpoints that are taken for lost.",
        lambda: sum(state.lost for state in directory.fleet),
    )
    add(
        "gypsumpost_gateway_refused_causes",
        "Requests and parts of prompts that are refused because endpoints crash on them.",
        context.crash_guard.count_causes,
    )
    add(
        "gypsumpost_endpoints_leaving",
        "Endpoints that have said that they leave.",
        lambda: len(directory.fleet.list_leaving()),
    )
    add(
        "gypsumpost_endpoints_closed",
        "Endpoints that want no requests of this host for a while.",
        lambda: sum(state.is_closed(trio.current_time()) for state in directory.fleet),
    )
    add_limit_gauges(metrics, limits=limits, desk=context.permits.taker.client.desk)
    if context.rollouts is not None:
        add_rollout_gauges(metrics, state=context.rollouts)
    add("gypsumpost_gateway_open_requests", "Requests that are being served.", count_open)
