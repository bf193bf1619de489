"""The task that owns one generation."""

import time

import trio

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.generation import Generation
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_daemon.generations.attempt_reader import AttemptReader
from gypsumpost_daemon.generations.attempt_route import AttemptRoute
from gypsumpost_daemon.generations.attempt_sequence import AttemptSequence
from gypsumpost_daemon.generations.generation_context import GenerationContext
from gypsumpost_daemon.generations.generation_status import GenerationStatus
from gypsumpost_daemon.generations.stall_timer import StallTimer
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="generation")


class GenerationTask:
    """Runs a generation, replicates its state and provides the answer to readers.

    :param record: the state; it may contain output if it was taken over from another daemon.
    :param route: routing request of the caller's request.
    :param context: the components shared by all generation tasks.
    """

    def __init__(
        self, *, record: GenerationRecord, route: RouteRequest, context: GenerationContext
    ) -> None:
        self.generation = Generation(record=record)
        self.holders: list[str] = []
        self.readers = 0
        self.unread_since = trio.current_time()
        self._context = context
        self._status = GenerationStatus(generation=self.generation)
        self._acknowledged: dict[str, int] = {}
        self._changed = trio.Event()
        self._scope = trio.CancelScope()
        routes = AttemptRoute(record=record, route=route)
        self._reader = AttemptReader(
            status=self._status,
            routes=routes,
            context=context,
            handle_output=self._handle_output,
            timer=StallTimer(
                metrics=context.metrics,
                started_at=trio.current_time(),
                resumed=bool(record.pieces),
            ),
        )
        self._attempts = AttemptSequence(
            status=self._status,
            routes=routes,
            reader=self._reader,
            context=context,
            handle_restart=self._acknowledged.clear,
        )

    @property
    def record(self) -> GenerationRecord:
        """The state of the generation."""
        return self.generation.record

    @property
    def failure(self) -> Failure | None:
        """Error sent to readers if the generation failed."""
        return self._status.failure

    @property
    def moved(self) -> bool:
        """True after another daemon has taken over the generation."""
        return self._status.moved

    @property
    def ended(self) -> bool:
        """True if no further output will become readable."""
        return self._status.ended

    def require_length(self, length: int) -> None:
        """Set the number of output tokens that a caller has already received.

        :param length: the number of tokens; no new attempt may start at an earlier offset.
        """
        self._status.required_length = max(self._status.required_length, length)

    async def run(self) -> None:
        """Run attempts until the answer is complete, fails or is taken over by another daemon."""
        self._protect()
        try:
            with self._scope:
                await self._attempts.run()
        finally:
            whole = self.generation.finished and not self.moved
            self._context.admission.finish(self.record.generation_id, whole)
        if self.generation.finished and not self.moved:
            self.record.keep_until = time.time() + self._context.settings.retention
        self._notify()

    def stop(self, failure: Failure | None = None) -> None:
        """Stop the generation before its end; does nothing if it has ended.

        :param failure: error sent to readers; ``None`` if another daemon takes over.
        """
        if self.ended:
            return
        if failure is None:
            self._status.moved = True
        else:
            self._status.failure = failure
            self._reader.cancel_stream()
        self._scope.cancel()
        self._context.copies.remove(
            self.record.generation_id, self.holders, close=failure is not None
        )
        self._notify()

    async def read(self, offset: int) -> list[Piece]:
        """Wait for pieces of the answer after an offset.

        :param offset: number of output tokens that the reader has received.
        :returns: the pieces; empty if the answer has ended or failed at this offset.
        """
        while True:
            changed = self._changed
            pieces = self.generation.read_pieces(offset)
            if pieces or self.ended:
                return pieces
            await changed.wait()

    async def wait_end(self) -> None:
        """Wait until the answer has ended or failed, without releasing any of it."""
        while not self.ended:
            await self._changed.wait()

    def handle_acknowledged(self, host_id: str, length: int) -> None:
        """Handle the acknowledgement of a holder and commit the output that all holders have."""
        if host_id in self.holders:
            self._acknowledged[host_id] = length
            self._commit()

    def handle_stale(self) -> None:
        """Stop, because another daemon has taken over the generation."""
        LOG.write("taken over by another daemon", generation_id=self.record.generation_id)
        self.stop()

    def handle_holder_lost(self, host_id: str) -> None:
        """Choose another holder in place of a lost one."""
        self._context.copies.avoid(host_id)
        others = [holder for holder in self.holders if holder != host_id]
        self._context.copies.remove(self.record.generation_id, others, close=False)
        if not self.moved and self.failure is None:
            self._protect()

    def protect_again(self) -> None:
        """Choose holders again if there are none."""
        if not self.holders and not self.ended:
            self._protect()

    def _protect(self) -> None:
        self._acknowledged.clear()
        self.holders = self._context.copies.add(self)
        self._commit()

    def _commit(self) -> None:
        lengths = [self._acknowledged.get(holder, 0) for holder in self.holders]
        length = min(lengths, default=self.record.length)
        if length > self.generation.committed or self.generation.finished:
            self.generation.commit(length)
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _handle_output(self) -> None:
        self._context.copies.mark_changed(self.record.generation_id, self.holders)
        if not self.holders:
            self._commit()
