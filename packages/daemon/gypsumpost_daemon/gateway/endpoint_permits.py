"""Permits for requests to endpoints that limit the requests of all hosts together."""

from collections.abc import Sequence

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.limits.permit_request import PermitRequest
from gypsumpost_daemon.gateway.gateway_metrics import GatewayMetrics
from gypsumpost_daemon.limits.permit_taker import PermitTaker
from gypsumpost_daemon.limits.permit_terms import AT_ONCE, PermitTerms

RETRIES = "retries/"
"""Beginning of the names of the groups that share a retry budget."""


@attrs.define(kw_only=True)
class EndpointPermits:
    """Takes permits, and marks the endpoints that have no room at the moment.

    :param fleet: the endpoints.
    :param taker: takes the permits.
    :param metrics: counters of the gateway.
    """

    fleet: EndpointFleet
    taker: PermitTaker
    metrics: GatewayMetrics

    def is_limited(self, record: EndpointRecord) -> bool:
        """Return true if requests to an endpoint need a permit.

        :param record: the endpoint.
        """
        return self.taker.is_limited(record.process_key)

    async def take_retry(self, service: str) -> bool:
        """Return whether a call may be sent again, beyond this host's part of the retry budget.

        :param service: the service.
        """
        now = trio.current_time()
        request = PermitRequest(
            group=RETRIES + service, limits=(), priority=0, queue_until=now, deadline=now
        )
        return (await self.taker.client.acquire(request)).granted

    async def take(self, record: EndpointRecord, terms: PermitTerms = AT_ONCE) -> bool:
        """Return whether a request may be sent to an endpoint.

        :param record: the endpoint.
        :param terms: how the request may wait.
        """
        return isinstance(await self.take_any([record], terms), Ok)

    async def take_any(
        self, records: Sequence[EndpointRecord], terms: PermitTerms = AT_ONCE
    ) -> Result[EndpointRecord, float]:
        """Return the endpoint to which a request may be sent.

        A request waits only if all endpoints have limits.

        :param records: endpoints of one service, in order of preference; at least one.
        :param terms: how the request may wait.
        :returns: the endpoint, or the monotonic time in seconds at which to come back.
        """
        service = records[0].service
        needed = self.is_limited(records[0])
        taken = await self.taker.take_any(service, [r.process_key for r in records], terms)
        if needed:
            self.metrics.count_permit(service, granted=isinstance(taken, Ok))
        if isinstance(taken, Err):
            for record in records:
                self.fleet.mark_limited(record, taken.err_value)
            return taken
        return Ok(next(record for record in records if record.process_key == taken.ok_value))
