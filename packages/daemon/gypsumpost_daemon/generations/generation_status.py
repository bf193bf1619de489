"""State shared by the components of a generation's task."""

import time

import attrs

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.generation import Generation
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="generation")


@attrs.define(kw_only=True, eq=False)
class GenerationStatus:
    """A generation and, if it has no complete answer, the reason for its end.

    :param generation: the generation.
    :param failure: error sent to readers if the generation failed.
    :param moved: true after another daemon has taken over the generation.
    :param required_length: number of output tokens that a caller has already received.
    :param may_have_run: false while no engine can have run any attempt.
    """

    generation: Generation
    failure: Failure | None = None
    moved: bool = False
    required_length: int = 0
    may_have_run: bool = attrs.field()

    @may_have_run.default
    def _has_earlier_attempts(self) -> bool:
        return self.record.attempt > 0

    @property
    def record(self) -> GenerationRecord:
        """The state of the generation."""
        return self.generation.record

    @property
    def ended(self) -> bool:
        """True if no further output will become readable."""
        return self.moved or self.failure is not None or self.generation.end_committed

    def is_past_deadline(self) -> bool:
        """Return true if the deadline has passed, after which no attempt may start."""
        return time.time() >= self.record.deadline

    def fail(self, code: str, status: int, message: str, *, retry_at: float | None = None) -> None:
        """End the generation with an error.

        :param code: machine-readable code.
        :param status: HTTP status code.
        :param message: one sentence for the caller.
        :param retry_at: Unix time in seconds from which a retry may succeed, ``None`` if unknown.
        """
        state = RunState.RUN if self.may_have_run else RunState.NOT_RUN
        self.failure = Failure(
            status=status, code=code, message=message, run_state=state, retry_at=retry_at
        )
        LOG.write("failed", code=code, **self.describe())

    def describe(self) -> dict[str, str | int]:
        """Return the log fields that identify the generation and its state."""
        record = self.record
        return {
            "request_id": record.request_id,
            "generation_id": record.generation_id,
            "workspace": record.workspace,
            "attempt": record.attempt,
            "epoch": record.epoch,
            "endpoint": record.engine,
            "offset": record.length,
        }
