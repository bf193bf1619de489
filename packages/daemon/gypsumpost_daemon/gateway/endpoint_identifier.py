"""Identifies the endpoint that answers at an address."""

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.service import Service
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.endpoint_notices import EndpointNotices
from gypsumpost_daemon.gateway.endpoint_permits import EndpointPermits
from gypsumpost_daemon.gateway.endpoint_query import query_endpoint
from gypsumpost_daemon.gateway.message_headers import find_header
from gypsumpost_daemon.gateway.request_purpose import RequestPurpose


@attrs.frozen(kw_only=True)
class EndpointIdentifier:
    """Queries an endpoint for its id.

    :param adapter: names and formats of the platform.
    :param notices: applies what the endpoint says about itself.
    :param permits: permits for requests to endpoints that limit them.
    """

    adapter: GatewayAdapter
    notices: EndpointNotices
    permits: EndpointPermits

    async def is_same(self, record: EndpointRecord, service: Service) -> Result[bool, str]:
        """Return whether the endpoint that answers at an address is the one that was known there.

        Another one may belong to any service: addresses are assigned anew, and only the entry of
        an endpoint in the store names its service.

        :param record: the endpoint that was known at the address.
        :param service: its service.
        """
        names = self.adapter.headers
        if not await self.permits.take(record):
            return Err("it has no room within its limit")
        sent_at = trio.current_time()
        self.notices.record_request(record, RequestPurpose.HEALTH)
        health = await query_endpoint(record.address, service.health_path)
        if isinstance(health, Err):
            return health
        answer = health.ok_value
        reported_id = find_header(answer.headers, names.endpoint_id)
        if reported_id is None:
            # An endpoint at capacity refuses the health check like any other request.
            return Err(f"status {answer.status} without an id")
        same = reported_id == record.endpoint_id.encode()
        if same:
            self.notices.observe(record, answer.status, answer.headers, sent_at)
        return Ok(same)
