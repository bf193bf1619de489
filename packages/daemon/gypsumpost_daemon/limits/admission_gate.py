"""Admission control for new generations."""

import time
from collections.abc import Iterable

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.limits.admission import Admission
from gypsumpost_core.limits.admission_decision import AdmissionDecision, AdmissionVerdict
from gypsumpost_core.limits.admission_request import AdmissionRequest
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.peers.host_directory import HostDirectory

TICK_SECONDS = 0.1
"""Interval of checks for queued requests that can no longer meet their deadline."""

CAPACITY_SECONDS = 0.5
"""Interval of capacity updates; an update iterates over all engines of the model."""

FREE_SLOT_FRACTION = 0.25
"""Minimum fraction of the free slots that one daemon adds to its capacity in an update; several
daemons may update at the same time."""


@attrs.define(kw_only=True, eq=False)
class AdmissionWait:
    """A request that waits for its admission decision.

    :param model: the requested model.
    :param decided: set when the request is admitted or refused.
    :param failure: the error for the caller, if it is refused.
    """

    model: str
    decided: trio.Event = attrs.field(factory=trio.Event)
    failure: Failure | None = None


@attrs.define(kw_only=True)
class ModelAdmission:
    """Admission state for the engines of one model.

    :param admission: the admission control of the model.
    :param update_at: monotonic time in seconds of the next capacity update.
    """

    admission: Admission
    update_at: float = 0.0


@attrs.define(kw_only=True)
class AdmissionGate:
    """Admits new generations, separately for each model, as models do not share engine slots.

    Continuations and takeovers bypass the gate, as their callers have already received a part of
    the output.

    :param router: provides the number of slots.
    :param directory: the hosts that share the slots.
    """

    router: Router
    directory: HostDirectory
    _models: dict[str, ModelAdmission] = attrs.field(factory=dict, init=False)
    _requests: dict[str, AdmissionWait] = attrs.field(factory=dict, init=False)

    def describe(self, record: GenerationRecord, weight: float = 1.0) -> AdmissionRequest:
        """Return the admission request for a new generation.

        :param record: the generation.
        :param weight: weight of the workspace relative to others of the same priority.
        """
        # The caller's token limit is a poor estimate of the cost. With it, a request with a high
        # limit would be refused although its usual output is finished before the deadline.
        cost = min(float(record.max_tokens), self.router.estimate_output_tokens())
        return AdmissionRequest(
            request_id=record.generation_id,
            workspace=record.workspace,
            priority=record.priority,
            weight=weight,
            cost=cost,
            deadline=trio.current_time() + record.deadline - time.time(),
        )

    async def admit(self, request: AdmissionRequest, model: str) -> Result[None, Failure]:
        """Wait until a new generation may start or is refused.

        If it is admitted, the caller must call :meth:`finish` when it ends.

        :param request: the request.
        :param model: the requested model.
        """
        now = trio.current_time()
        wait = self._requests[request.request_id] = AdmissionWait(model=model)
        admission = self._get_admission(model, now)
        self._apply(admission.offer(request, now))
        try:
            await wait.decided.wait()
        except trio.Cancelled:
            self.finish(request.request_id, completed=False)
            raise
        if wait.failure is not None:
            del self._requests[request.request_id]
            return Err(wait.failure)
        return Ok(None)

    def observe_first_token(self, model: str, seconds: float) -> None:
        """Adapt the limit to the time to first token of a first attempt.

        :param model: the model.
        :param seconds: seconds from sending the attempt to its first token.
        """
        if model in self._models:
            self._models[model].admission.observe_first_token(seconds, trio.current_time())

    def finish(self, request_id: str, completed: bool) -> None:
        """Remove a generation that has ended; ignored if it was never admitted.

        :param request_id: id of the admitted request.
        :param completed: false if it ended early; its duration is then not measured.
        """
        wait = self._requests.pop(request_id, None)
        if wait is not None:
            admission = self._models[wait.model].admission
            self._apply(admission.finish(request_id, trio.current_time(), completed))

    async def run(self) -> None:
        """Refuse late requests and update the capacity until cancelled."""
        while True:
            await trio.sleep(TICK_SECONDS)
            now = trio.current_time()
            for model in list(self._models):
                admission = self._get_admission(model, now)
                if admission.count_waiting():
                    self._apply(admission.expire(now))

    def _get_admission(self, model: str, now: float) -> Admission:
        entry = self._models.get(model)
        if entry is None:
            entry = self._models[model] = ModelAdmission(admission=Admission())
        if now >= entry.update_at:
            entry.update_at = now + CAPACITY_SECONDS
            entry.admission.unix_offset = time.time() - now
            capacity = self._compute_capacity(entry.admission, model, now)
            self._apply(entry.admission.update_capacity(capacity, now))
        return entry.admission

    def _compute_capacity(self, admission: Admission, model: str, now: float) -> float:
        # Daemons receive unequal load: a busy one may use slots that the others leave free, while
        # an idle one always keeps its equal share.
        equal = 1 / len(self.directory.list_live())
        free = self.router.count_free_slots(model, now) * max(equal, FREE_SLOT_FRACTION)
        return max(equal * self.router.count_slots(model, now), admission.count_running() + free)

    def _apply(self, decisions: Iterable[AdmissionDecision]) -> None:
        for decision in decisions:
            wait = self._requests.get(decision.request_id)
            if wait is not None and decision.verdict is not AdmissionVerdict.QUEUED:
                wait.failure = decision.failure
                wait.decided.set()
