"""Reviews the refusals that rest on the limits of the configuration."""

from collections.abc import Sequence

from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.message_headers import find_header
from gypsumpost_daemon.gateway.refusal_log import log_refusal
from gypsumpost_daemon.http.http_refusal import HttpRefusal


class LimitRefusals:
    """Logs each request that exceeds a limit of the configuration.

    :param context: state shared by the forwarders.
    """

    def __init__(self, *, context: ForwardContext) -> None:
        self._context = context

    async def review(
        self, refusal: HttpRefusal, headers: Sequence[tuple[bytes, bytes]]
    ) -> HttpRefusal:
        """Return the refusal to send.

        :param refusal: why the server refuses the request.
        :param headers: headers of the request, none if its head is incomplete.
        """
        if refusal.limit is None:
            return refusal
        request_id = find_header(headers, self._context.header_names.request_id) or b""
        log_refusal(self._context, request_id, refusal.status, refusal.message)
        return refusal
