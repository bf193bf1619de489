"""Versions that one request may go to, and what its attempts say about them."""

import math
from collections.abc import Callable, Collection, Sequence

import trio

from gypsumpost_core.gateway.copy_source import CopySource
from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.rollouts.allowed_versions import AllowedVersions
from gypsumpost_core.rollouts.answer_outcome import AnswerOutcome
from gypsumpost_core.rollouts.canary_endpoints import select_canary_endpoints
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_plan import plan_rollout
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.sent_request import SentRequest
from gypsumpost_daemon.rollouts.rollout_state import RolloutState
from gypsumpost_daemon.rollouts.unix_clock import MILLISECONDS, read_unix_ms

MOVE_MS = 700
"""Streams leave the old version this long before the last step, which stops its servers. Many end
by themselves until then, and another engine has to read the prompts of the others."""


class RequestVersions:
    """Chooses the versions of one request for each of its attempts, and records their outcomes.

    Without a roll-out of the service all endpoints may be used, and nothing is recorded.

    :param state: what this host knows of roll-outs, ``None`` if the deployment has none.
    :param fleet: the endpoints.
    :param service: name of the service.
    :param route: name of the route.
    :param count: counts an outcome by service, version and outcome, for the metrics.
    """

    def __init__(
        self,
        *,
        state: RolloutState | None,
        fleet: EndpointFleet,
        service: str,
        route: str,
        count: Callable[[str, str, str], None],
    ) -> None:
        self._state = state
        self._fleet = fleet
        self._service = service
        self._route = route
        self._count = count
        self._allowed: AllowedVersions | None = None
        self._drawn_from: RolloutRecord | None = None
        self._drawn_limited = False
        self._attempts = 0
        self._sent: SentRequest | None = None
        self._failed: SentRequest | None = None

    @property
    def tracked(self) -> bool:
        """True if the deployment has roll-outs."""
        return self._state is not None

    @property
    def limited(self) -> bool:
        """True if the service has a roll-out."""
        return self._state is not None and self._state.is_involved(self._service)

    @property
    def current(self) -> bool:
        """True if the roll-out of the service has not changed since the versions were drawn."""
        if self._state is None:
            return True
        record = self._state.records.get(self._service)
        return self.limited == self._drawn_limited and record == self._drawn_from

    def draw(self) -> None:
        """Choose the versions for the next attempt."""
        self._allowed = None
        if self._state is None:
            return
        self._drawn_limited = self.limited
        self._drawn_from = self._state.records.get(self._service)
        if not self._drawn_limited:
            return
        versions = frozenset(
            state.record.version for state in self._fleet.list_service(self._service)
        )
        self._allowed = self._state.choice.choose(
            self._service, versions, trio.current_time(), is_first=not self._attempts
        )
        self._attempts += 1
        if not versions & (self._allowed.preferred | self._allowed.fallback):
            self._allowed = self._allow_unknown(versions)

    def select(
        self, states: Sequence[EndpointState], tried: Collection[str] = ()
    ) -> list[EndpointState]:
        """Return the endpoints to which the next attempt may go.

        :param states: endpoints of the service.
        :param tried: ids of endpoints to exclude if others remain.
        """
        allowed = self._allowed
        if allowed is None:
            return list(states)
        preferred = [state for state in states if state.record.version in allowed.preferred]
        if allowed.exposes:
            preferred = self._select_canaries(preferred)
        others = [state for state in states if state.record.version in allowed.fallback]
        for group in (preferred, others):
            if any(not s.lost and s.record.endpoint_id not in tried for s in group):
                return group
        return preferred or others

    def select_holders(
        self, states: Sequence[EndpointState], engine: EndpointState
    ) -> list[EndpointState]:
        """Return the endpoints that may hold a copy: a stream goes on at its own version.

        :param states: endpoints of the service.
        :param engine: the engine that runs the stream.
        """
        if not self.limited:
            return list(states)
        return [state for state in states if state.record.version == engine.record.version]

    def choose_copy(self, copy: CopySource | None) -> CopySource | None:
        """Return the copy of the stream if it may go on at the holder, else ``None``.

        :param copy: the copy, ``None`` for none.
        """
        return copy if copy is not None and self._permits(copy.holder) else None

    async def wait_end(self, record: EndpointRecord) -> None:
        """Wait until a stream has to leave an endpoint, because its version is about to stop.

        :param record: the endpoint.
        """
        assert self._state is not None
        while True:
            move_at_ms = self._find_move_time(record.version)
            seconds = math.inf
            if move_at_ms is not None:
                seconds = (move_at_ms - read_unix_ms()) / MILLISECONDS
            if seconds <= 0:
                return
            with trio.move_on_after(seconds):
                await self._state.wait_change()

    def record_sent(self, record: EndpointRecord) -> None:
        """Record that the request is sent to an endpoint.

        :param record: the endpoint.
        """
        if self._state is None or not self.limited:
            return
        rollout = self._state.records.get(self._service)
        if (
            rollout is not None
            and record.version == rollout.target_version
            and rollout.share <= self._state.settings.expose_share
        ):
            self._state.choice.record_exposure(self._service)
        self._sent = self._state.evidence.record_sent(
            service=self._service,
            version=record.version,
            route=self._route,
            endpoint_id=record.endpoint_id,
            now_ms=read_unix_ms(),
        )

    def record_outcome(self, outcome: AnswerOutcome | None) -> None:
        """Record the outcome of the last attempt.

        :param outcome: how the endpoint answered, ``None`` if that says nothing of its version.
        """
        sent = self._sent
        if self._state is None or sent is None:
            return
        now_ms = read_unix_ms()
        if outcome is None:
            self._state.evidence.forget(sent)
            return
        if not sent.answered:
            self._count(sent.service, sent.version, outcome.value)
        self._state.evidence.record_answer(sent, outcome, now_ms)
        if outcome is not AnswerOutcome.FAILED:
            return
        if self._failed is not None and self._failed.version != sent.version:
            self._state.evidence.record_shared_failure(self._failed, now_ms)
        self._failed = self._failed or sent

    def _find_move_time(self, version: str) -> int | None:
        """Return the Unix milliseconds at which streams leave a version, ``None`` if they stay."""
        record = self._state.records.get(self._service) if self._state else None
        if record is None or record.phase is not RolloutPhase.RUNNING or record.share < 1.0:
            return None
        if version == record.target_version:
            return None
        return plan_rollout(record.started_at_ms, record.deadline_ms).final_at_ms - MOVE_MS

    def _permits(self, holder: EndpointRecord) -> bool:
        record = self._state.records.get(self._service) if self._state else None
        if record is None:
            return True
        if holder.version in record.barred:
            return False
        if holder.version == record.target_version:
            return record.phase is not RolloutPhase.ROLLED_BACK
        return record.phase is not RolloutPhase.RUNNING or record.share < 1.0

    def _select_canaries(self, states: list[EndpointState]) -> list[EndpointState]:
        assert self._state is not None and self._allowed is not None
        all_states = self._fleet.list_service(self._service)
        target = [s for s in all_states if s.record.version in self._allowed.preferred]
        selected = set(
            select_canary_endpoints(
                [state.record.endpoint_id for state in target],
                self._service,
                self._state.settings.expose_share,
                len(all_states) - len(target),
            )
        )
        return [state for state in states if state.record.endpoint_id in selected]

    def _allow_unknown(self, versions: frozenset[str]) -> AllowedVersions | None:
        """Return what is allowed if no endpoint has an allowed version.

        A host that starts may know the order but not yet how its roll-out ended. If only one
        version is left, the others have been stopped.
        """
        assert self._state is not None
        if self._service in self._state.records:
            return self._allowed
        return AllowedVersions(preferred=versions)


ALL_VERSIONS = RequestVersions(
    state=None, fleet=EndpointFleet(), service="", route="", count=lambda *_: None
)
"""For requests to services without roll-outs."""
