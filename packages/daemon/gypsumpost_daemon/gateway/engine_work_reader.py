"""Asks engines which requests they work on."""

import attrs
from result import Err

from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.engine_work import EngineWork
from gypsumpost_daemon.gateway.adapter import GatewayAdapter
from gypsumpost_daemon.gateway.endpoint_query import query_endpoint
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="engine")


@attrs.frozen(kw_only=True)
class EngineWorkReader:
    """Reads the work that an engine reports.

    :param adapter: names and formats of the platform.
    """

    adapter: GatewayAdapter

    async def read(self, record: EndpointRecord) -> EngineWork | None:
        """Return the work of an engine, ``None`` if it does not report any.

        :param record: the engine.
        """
        answer = await query_endpoint(record.address, self.adapter.report_path)
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
