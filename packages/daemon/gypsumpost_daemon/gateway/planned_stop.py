"""The steps of a planned stop of the gateway."""

import attrs
import trio

from gypsumpost_daemon.gateway.gateway_application import GatewayApplication
from gypsumpost_daemon.http.running_server import RunningServer
from gypsumpost_daemon.limits.permit_client import PermitClient
from gypsumpost_daemon.peers.gossip import Gossip
from gypsumpost_daemon.telemetry.log import Log

BALANCER_DELAY_SECONDS = 2.6
"""The load balancer checks readiness every second and stops sending connections after two
failures."""

STOP_MARGIN_SECONDS = 0.4
"""Connections that are still open are closed this long before the process is killed."""

CHECK_SECONDS = 0.05

LOG = Log(prefix="gateway")


@attrs.frozen(kw_only=True)
class PlannedStop:
    """Ends the work of a gateway without cutting off what it has taken.

    :param application: the requests of callers.
    :param server: the server for callers.
    :param gossip: membership, which this host leaves.
    :param permits: permits, whose coordination this host leaves to others.
    """

    application: GatewayApplication
    server: RunningServer
    gossip: Gossip
    permits: PermitClient

    async def run(self, kill_at: float) -> None:
        """Return when all requests have been answered, at the latest before the process is killed.

        :param kill_at: monotonic time in seconds at which the process is killed.
        """
        deadline = kill_at - STOP_MARGIN_SECONDS
        LOG.write("stopping", open_requests=self.application.open_requests)
        self.application.begin_stop(deadline)
        self.server.drain()
        self.permits.stop_coordinating()
        await self.gossip.leave()
        with trio.move_on_at(self.application.stop_schedule.answer_by):
            await trio.sleep(BALANCER_DELAY_SECONDS)
            await self._wait_for_requests()
        self.application.answer_unanswered()
        with trio.move_on_at(deadline):
            await self._wait_for_requests()
        self.server.stop(deadline)
        # Requests that have been accepted but not read yet are answered too.
        await self.server.ended.wait()

    async def _wait_for_requests(self) -> None:
        while self.application.open_requests:
            await trio.sleep(CHECK_SECONDS)
