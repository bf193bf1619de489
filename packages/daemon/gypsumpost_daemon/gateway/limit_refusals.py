"""Reviews the refusals of the server: of malformed requests, and by the limits in force."""

from collections.abc import Awaitable, Callable, Sequence

import trio

from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.gateway_application import BEHIND, NO_CONFIGURATION
from gypsumpost_daemon.gateway.head_refusal import HeadRefusal
from gypsumpost_daemon.gateway.message_headers import find_header
from gypsumpost_daemon.gateway.refusal_log import log_refusal, write_refusal
from gypsumpost_daemon.http.http_refusal import LONG_HEAD_STATUS, HttpRefusal
from gypsumpost_daemon.telemetry.line_limiter import LineLimiter

MALFORMED_LINE_SECONDS = 0.02
"""Time between two lines about malformed requests with the same status. Anybody may send these, and
the lines of other requests are left out when the log is over its budget."""


class LimitRefusals:
    """Decides whether a request that exceeds a limit of the configuration is refused for good.

    As for a path without a route, that needs a recent confirmation of the store.

    :param context: state shared by the forwarders.
    :param confirm: returns whether the configuration in force is known to be the newest.
    """

    def __init__(self, *, context: ForwardContext, confirm: Callable[[], Awaitable[bool]]) -> None:
        self._context = context
        self._confirm = confirm
        self._lines = LineLimiter(seconds=MALFORMED_LINE_SECONDS)

    async def review(
        self, refusal: HttpRefusal, headers: Sequence[tuple[bytes, bytes]]
    ) -> HttpRefusal:
        """Return the refusal to send.

        :param refusal: why the server refuses the request.
        :param headers: headers of the request, none if its head is incomplete.
        """
        request_id = find_header(headers, self._context.header_names.request_id) or b""
        if refusal.limit is None:
            self._record_malformed(refusal, request_id)
            return refusal
        if not self._context.directory.ready:
            return _postpone(NO_CONFIGURATION)
        if not await self._confirm() or refusal.limit < self._find_limit(refusal.status):
            refusal = _postpone(BEHIND)
        log_refusal(self._context, request_id, refusal.status, refusal.message)
        return refusal

    def _record_malformed(self, refusal: HttpRefusal, request_id: bytes) -> None:
        """Count and log a refusal that no configuration changes."""
        if refusal.retry_after:
            return  # The overload guard has counted and logged that the host has no room.
        self._context.metrics.count_refusal(refusal.status)
        if self._lines.allow(str(refusal.status), trio.current_time()):
            write_refusal(self._context, request_id, refusal.status, refusal.message)

    def _find_limit(self, status: int) -> int:
        """Return the limit in force, which the answer of the store may have raised."""
        routes = self._context.directory.routes
        if routes is None:
            return 0
        limits = routes.configuration.limits
        return limits.max_head if status == LONG_HEAD_STATUS else limits.max_body


def _postpone(refusal: HeadRefusal) -> HttpRefusal:
    return HttpRefusal(
        status=refusal.status,
        code="configuration_unconfirmed",
        message=refusal.reason,
        retry_after=refusal.retry_after,
    )
