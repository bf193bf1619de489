"""HTTP listeners of a gateway."""

import attrs
import trio

from gypsumpost_daemon.http.asgi_application import ASGIApplication
from gypsumpost_daemon.http.h11_server import serve_limited
from gypsumpost_daemon.http.http_limits import HttpLimits
from gypsumpost_daemon.http.http_refusal import RefusalReview, keep_refusal
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.http.running_server import RunningServer

PROBE_BODY_BYTES = 4096
PROBE_CONNECTIONS = 32
"""Most connections to the readiness check, and to the metrics."""


@attrs.frozen(kw_only=True)
class GatewayListeners:
    """Starts the listeners, which share one bound on memory.

    :param nursery: runs the servers.
    :param guard: counts what is held for callers.
    """

    nursery: trio.Nursery
    guard: OverloadGuard

    async def serve_probes(self, application: ASGIApplication, address: str) -> RunningServer:
        """Serve small requests of the platform.

        :param application: the ASGI application.
        :param address: ``ip:port`` to listen on.
        """
        limits = HttpLimits(max_body=PROBE_BODY_BYTES, max_connections=PROBE_CONNECTIONS)
        return await self.serve(application, address, limits)

    async def serve(
        self,
        application: ASGIApplication,
        address: str,
        limits: HttpLimits,
        review: RefusalReview = keep_refusal,
    ) -> RunningServer:
        """Serve an application in the nursery.

        :param application: the ASGI application.
        :param address: ``ip:port`` to listen on.
        :param limits: limits of the connections.
        :param review: decides what is sent where a request exceeds a limit.
        """

        async def serve(task_status: trio.TaskStatus[RunningServer]) -> None:
            await serve_limited(
                application=application,
                address=address,
                limits=limits,
                guard=self.guard,
                review=review,
                task_status=task_status,
            )

        server: RunningServer = await self.nursery.start(serve)
        return server
