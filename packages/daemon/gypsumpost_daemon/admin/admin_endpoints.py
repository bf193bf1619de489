"""Handlers for endpoints in the administration interface."""

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import trio

from gypsumpost_core.limits.known_limit import KnownLimit
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_daemon.admin.admin_application import AdminApplication
from gypsumpost_daemon.admin.admin_edits import describe_outcome, get_author, get_edit_deadline
from gypsumpost_daemon.admin.admin_request import AdminRequest
from gypsumpost_daemon.admin.admin_response import create_error_response, create_json_response
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.endpoints.endpoint_editor import EndpointEditor
from gypsumpost_daemon.endpoints.endpoint_record import STARTED, STOPPED
from gypsumpost_daemon.endpoints.stopped_endpoint_replica import StoppedEndpointReplica
from gypsumpost_daemon.engines.endpoint_table import EndpointTable

MAX_CONCURRENT_QUERIES = 20
"""Maximum number of leaving endpoints whose remaining work is queried concurrently."""

FindLimit = Callable[[Endpoint], KnownLimit | None]
ReadRequestCount = Callable[[Endpoint], Awaitable[int | None]]


class AdminEndpoints:
    """Handlers that show, stop and start endpoints.

    :param endpoints: the known endpoints.
    :param stopped_endpoints: the endpoints that operators have stopped.
    :param editor: stores the states that operators request, ``None`` without a store.
    :param is_leaving: returns whether routing sends no new work to an endpoint.
    :param read_request_count: returns the number of requests that an endpoint runs or queues,
        ``None`` if it does not answer.
    :param find_limit: returns the limit on requests that an endpoint has named, ``None`` for none.
    """

    def __init__(
        self,
        *,
        endpoints: EndpointTable,
        stopped_endpoints: StoppedEndpointReplica,
        editor: EndpointEditor | None,
        is_leaving: Callable[[str], bool],
        read_request_count: ReadRequestCount,
        find_limit: FindLimit,
    ) -> None:
        self._endpoints = endpoints
        self._stopped_endpoints = stopped_endpoints
        self._editor = editor
        self._is_leaving = is_leaving
        self._read_request_count = read_request_count
        self._find_limit = find_limit

    def add_routes(self, application: AdminApplication) -> None:
        """Register the handlers.

        :param application: the administration interface.
        """
        application.add_route("GET", "/admin/v1/endpoints", self.show)
        application.add_route("PUT", "/admin/v1/endpoints/(?P<name>[^/]+)", self.set_desired)

    async def show(self, request: AdminRequest) -> CallerResponse:
        """Return all endpoints; for a leaving one also the number of requests it runs or queues."""
        endpoints = self._endpoints.list_all()
        counts: dict[str, int | None] = {}
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

        async def query(endpoint: Endpoint) -> None:
            async with limiter:
                counts[endpoint.name] = await self._read_request_count(endpoint)

        async with trio.open_nursery() as nursery:
            for endpoint in filter(self._leaves, endpoints):
                nursery.start_soon(query, endpoint)
        rows = [self._describe(endpoint, counts) for endpoint in endpoints]
        return create_json_response(200, {"endpoints": sorted(rows, key=lambda row: row["name"])})

    async def set_desired(self, request: AdminRequest, name: str) -> CallerResponse:
        """Store whether an endpoint must be started or stopped."""
        if self._editor is None:
            return create_error_response(503, "no_store", "This daemon has no store.")
        desired = _read_desired(request.body)
        if desired is None:
            message = f'The body must be {{"desired":"{STARTED}"}} or {{"desired":"{STOPPED}"}}.'
            return create_error_response(422, "wrong_body", message)
        if self._endpoints.find(name) is None:
            return create_error_response(404, "not_found", f"There is no endpoint {name}.")
        outcome = await self._editor.set_desired(
            name, desired, author=get_author(request), deadline=get_edit_deadline()
        )
        return describe_outcome(outcome)

    def _leaves(self, endpoint: Endpoint) -> bool:
        return endpoint.status is EndpointStatus.LEAVING or self._is_leaving(endpoint.name)

    def _describe(self, endpoint: Endpoint, counts: dict[str, int | None]) -> dict[str, Any]:
        leaving = self._leaves(endpoint)
        return {
            "name": endpoint.name,
            "kind": endpoint.kind.value,
            "failure_domain": endpoint.failure_domain,
            "serves": endpoint.service or sorted({ref.model for ref in endpoint.models}),
            "stopped": endpoint.name in self._stopped_endpoints.stopped,
            "leaving": leaving,
            "work": counts.get(endpoint.name) if leaving else None,
            "limit": _describe_limit(self._find_limit(endpoint)),
        }


def _describe_limit(known: KnownLimit | None) -> dict[str, Any] | None:
    if known is None or known.limit.per_second is None:
        return None
    return {
        "per_second": known.limit.per_second,
        "for_seconds": round(trio.current_time() - known.named_at, 1),
        "source": known.source,
    }


def _read_desired(body: bytes) -> str | None:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    desired = value.get("desired") if isinstance(value, dict) else None
    return desired if desired in (STARTED, STOPPED) else None
