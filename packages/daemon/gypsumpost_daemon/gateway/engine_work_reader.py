"""Asks engines which requests they work on."""

import attrs
import trio
from result import Err

from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.engine_work import EngineWork
from gypsumpost_daemon.engines.h11_engine_connection import H11EngineConnection
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.endpoint_answer import EndpointAnswer
from gypsumpost_daemon.gateway.endpoint_notices import EndpointNotices
from gypsumpost_daemon.gateway.endpoint_permits import EndpointPermits
from gypsumpost_daemon.gateway.endpoint_query import exchange_query, query_endpoint
from gypsumpost_daemon.gateway.request_purpose import RequestPurpose
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="engine")


@attrs.frozen(kw_only=True)
class EngineWorkReader:
    """Reads the work that an engine reports.

    :param adapter: names and formats of the platform.
    :param fleet: the endpoints.
    :param notices: applies what the engine says about itself.
    :param permits: permits for requests to endpoints that limit them.
    """

    adapter: GatewayAdapter
    fleet: EndpointFleet
    notices: EndpointNotices
    permits: EndpointPermits

    def may_ask_often(self, record: EndpointRecord) -> bool:
        """Return true if an engine neither limits its requests nor wants none for a while.

        :param record: the engine.
        """
        state = self.fleet.find(record.endpoint_id)
        closed = state is not None and state.is_closed(trio.current_time())
        return not closed and not self.permits.is_limited(record)

    async def ask(
        self, connection: H11EngineConnection, record: EndpointRecord, deadline: float
    ) -> EndpointAnswer | None:
        """Ask an engine for a report on an open connection; return ``None`` without an answer.

        :param connection: the connection, which stays open.
        :param record: the engine.
        :param deadline: monotonic time in seconds at which to stop waiting.
        """
        sent_at = trio.current_time()
        answer = await exchange_query(
            connection, record.address, self.adapter.report_path, deadline
        )
        if isinstance(answer, Err):
            return None
        self._observe(record, answer.ok_value, sent_at)
        return answer.ok_value

    async def read(self, record: EndpointRecord) -> EngineWork | None:
        """Return the work of an engine, ``None`` if it does not report any.

        :param record: the engine.
        """
        state = self.fleet.find(record.endpoint_id)
        if state is not None and state.is_closed(trio.current_time()):
            LOG.write("an engine that wants no requests is not asked", endpoint=record.endpoint_id)
            return None
        if not await self.permits.take(record):
            LOG.write("an engine at its limit is not asked", endpoint=record.endpoint_id)
            return None
        sent_at = trio.current_time()
        self.notices.record_request(record, RequestPurpose.REPORT)
        answer = await query_endpoint(record.address, self.adapter.report_path)
        if not isinstance(answer, Err):
            self._observe(record, answer.ok_value, sent_at)
        decoded = (
            answer if isinstance(answer, Err) else self.adapter.decode_work(answer.ok_value.body)
        )
        if isinstance(decoded, Err):
            LOG.write(
                "an engine does not report its work",
                endpoint=record.endpoint_id,
                reason=decoded.err_value,
            )
            return None
        return decoded.ok_value

    def _observe(self, record: EndpointRecord, answer: EndpointAnswer, sent_at: float) -> None:
        # Another engine may have the address by now; a refusal has no report that tells.
        report = self.adapter.decode_report(answer.body)
        if isinstance(report, Err) or report.ok_value.started_at == record.started_at:
            self.notices.observe(record, answer.status, answer.headers, sent_at)
