"""Makes a new copy of a running stream when the holder of its copy is lost."""

import trio
from result import Err

from gypsumpost_core.gateway.copy_schedule import CopySchedule
from gypsumpost_core.gateway.copy_source import CopySource
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.engine_limits import EngineLimits
from gypsumpost_core.prefill.pacing_condition import is_paced
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.endpoint_query import query_endpoint
from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.gateway.request_purpose import RequestPurpose
from gypsumpost_daemon.gateway.stream_progress import StreamProgress
from gypsumpost_daemon.telemetry.log import Log

CHECK_SECONDS = 0.2
"""Interval at which the holder is looked at; nothing is sent as long as it is known and alive."""

OWN_STATUSES = frozenset({200, 503})
"""Statuses of an engine that knows the stream."""

LOG = Log(prefix="copy")


class CopyRenewal:
    """Orders the engine of one attempt to copy the stream to another engine.

    The copy that an engine sends along from the start of a stream goes on by itself. A later one
    holds the stream up to the order only, so the order is repeated.

    :param context: state shared by the forwarders.
    :param call: the request.
    :param progress: progress of the stream, with its newest copy.
    :param state: the engine that runs the stream.
    :param limits: limits of the engines.
    """

    def __init__(
        self,
        *,
        context: ForwardContext,
        call: CallerCall,
        progress: StreamProgress,
        state: EndpointState,
        limits: EngineLimits,
    ) -> None:
        self._context = context
        self._call = call
        self._progress = progress
        self._state = state
        self._limits = limits
        self._schedule = CopySchedule(
            fleet=context.directory.fleet, keep_seconds=limits.copy_seconds
        )

    async def run(self) -> None:
        """Watch the copy until cancelled."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            copy = self._progress.newest_copy
            if self._progress.usage.prefilling:
                continue
            if self._schedule.is_due(copy, trio.current_time()):
                await self._renew(copy)

    async def _renew(self, copy: CopySource | None) -> None:
        target = copy.holder if copy else None
        if copy is None or self._schedule.is_holder_lost(copy):
            chosen = self._context.create_choice(self._call).choose_copy_holder(
                self._call.service,
                self._limits,
                engine=self._state,
                total_tokens=self._progress.usage.total_tokens,
                only_with_room=is_paced(
                    self._call.route, self._limits, self._progress.usage.total_tokens
                ),
            )
            if chosen is None:
                return
            target = chosen.record
        if target is None or self._state.is_closed(trio.current_time()):
            return
        if not await self._context.permits.take(self._state.record):
            self._schedule.record_failure(trio.current_time())
            return
        handle = await self._move(target)
        if handle is None:
            self._schedule.record_failure(trio.current_time())
            return
        source = self._state.record.address
        self._progress.newest_copy = CopySource(holder=target, address=source, handle=handle)
        self._schedule.record_move(trio.current_time())
        if self._progress.usage.copy_engine != target.endpoint_id:
            self._progress.usage.copy_engine = target.endpoint_id
            self._context.usage.notify_listeners()

    async def _move(self, target: EndpointRecord) -> str | None:
        """Return the handle of the new copy, ``None`` if there is none."""
        adapter = self._context.adapter
        body = adapter.encode_move(self._call.request_id, target.address)
        record, sent_at = self._state.record, trio.current_time()
        self._context.notices.record_request(record, RequestPurpose.COPY)
        answer = await query_endpoint(record.address, adapter.move_path, body=body)
        # An engine that does not know the stream may be another one at the same address.
        if not isinstance(answer, Err) and answer.ok_value.status in OWN_STATUSES:
            reply = answer.ok_value
            self._context.notices.observe(record, reply.status, reply.headers, sent_at)
        decoded = answer if isinstance(answer, Err) else adapter.decode_move(answer.ok_value)
        LOG.write(
            "moved a copy" if not isinstance(decoded, Err) else "failed to move a copy",
            request_id=self._call.request_id,
            endpoint=self._state.record.endpoint_id,
            holder=target.endpoint_id,
            reason=decoded.err_value if isinstance(decoded, Err) else "",
        )
        return None if isinstance(decoded, Err) else decoded.ok_value
