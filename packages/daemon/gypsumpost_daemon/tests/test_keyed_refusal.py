"""Tests of the run state of refused service calls."""

from types import SimpleNamespace
from typing import Any

from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_application import CallerApplication
from gypsumpost_daemon.callers.list_access import NO_LISTS, ListAccess
from gypsumpost_daemon.telemetry.metrics import Metrics


async def call_without_lists(path: str, headers: dict[str, str]) -> RunState:
    """Send a request to a daemon that has no lists yet, and return the run state of the refusal."""
    unused: Any = None
    lists: Any = SimpleNamespace(revision=0)
    application = CallerApplication(
        settings=unused,
        supervisor=unused,
        keys=unused,
        admission=unused,
        metrics=Metrics(),
        access=ListAccess(lists=lists, shares=unused),
        list_models=list,
    )
    scope = {"path": path, "method": "POST"}
    call: Any = SimpleNamespace(scope=scope, headers={"authorization": "Bearer k"} | headers)
    failure = await application._route(call)
    assert failure is not None and failure.code == NO_LISTS.code
    return failure.run_state


async def test_refused_retry_of_a_charge_is_not_reported_as_not_run() -> None:
    """Guards against ``not_run`` for the retry of a charge that was already made (soak 22)."""
    key = {"idempotency-key": "k"}
    assert await call_without_lists("/v1/services/gate/charges", key) is RunState.UNKNOWN
    assert await call_without_lists("/v1/services/gate/charges", {}) is RunState.NOT_RUN
    assert await call_without_lists("/v1/completions", key) is RunState.NOT_RUN
