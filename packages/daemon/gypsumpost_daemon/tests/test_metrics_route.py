"""Tests of the metrics route on the callers' listener."""

from typing import Any, cast

from gypsumpost_daemon.callers.caller_application import CallerApplication
from gypsumpost_daemon.callers.settings_access import SettingsAccess
from gypsumpost_daemon.callers.workspace_keys import parse_workspace_keys
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.telemetry.metrics import Metrics

UNUSED = cast(Any, None)
"""Placeholder for components that these requests do not use."""


async def request(application: CallerApplication, path: str) -> tuple[int, bytes]:
    sent: list[Any] = []

    async def receive() -> Any:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(event: Any) -> None:
        sent.append(event)

    scope: Any = {"type": "http", "method": "GET", "path": path, "headers": [], "query_string": b""}
    await application(scope, receive, send)
    return sent[0]["status"], b"".join(event.get("body", b"") for event in sent[1:])


async def test_metrics_need_no_key_and_count_refusals() -> None:
    """Guards against a metrics route that needs a workspace's key, and uncounted refusals."""
    application = CallerApplication(
        settings=Settings(),
        supervisor=UNUSED,
        keys=UNUSED,
        admission=UNUSED,
        access=SettingsAccess(keys=parse_workspace_keys("")),
        list_models=list,
        metrics=Metrics(),
    )
    assert (await request(application, "/v1/models"))[0] == 401
    status, body = await request(application, "/metrics")
    assert status == 200
    assert b'gypsumpost_requests_total{outcome="refused",code="invalid_api_key"} 1\n' in body
