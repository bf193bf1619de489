"""Chooses the engine that runs a stream and the engine that holds its copy."""

import random
from collections.abc import Callable, Collection, Mapping, Sequence

import attrs

from gypsumpost_core.cheap_choice import choose_cheap
from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.engine_limits import EngineLimits
from gypsumpost_core.gateway.engine_usage import EngineUsage
from gypsumpost_core.gateway.prefill_rates import PrefillRates
from gypsumpost_core.prefill.engine_costs import (
    MEMORY_RATIO,
    SPREAD_SECONDS,
    STREAM_DELAY_SECONDS,
)
from gypsumpost_core.prefill.engine_load import EngineLoad

CROSS_DOMAIN_SECONDS = 0.4
"""Cost added for an engine in another domain: traffic between domains is expensive, and reports
from other domains are older."""

OVERLOAD_SECONDS = 20.0
"""Cost of reserving the whole memory a second time, or of having no free slot; the prompt of a
preempted stream is prefilled again."""

FAILURE_COST_SECONDS = 4.0
"""Cost of an engine that is alive but fails all its streams."""

SPREAD_MEMORY_RATIO = 0.02
"""Like ``SPREAD_SECONDS`` for the choice of a copy's holder, as a share of the engine's memory."""

NO_USAGE = EngineUsage()


def select_all(states: Sequence[EndpointState], *_: object) -> Sequence[EndpointState]:
    """Return all engines.

    :param states: the engines.
    """
    return states


@attrs.frozen(kw_only=True)
class EngineChoice:
    """Compares engines by expected time to the first event and by free memory.

    :param fleet: the endpoints.
    :param usage: usage of each engine by the streams of all hosts.
    :param rates: prefill rates of the engines.
    :param failure_domain: failure domain of this host.
    :param now: monotonic time in seconds.
    :param rng: random number generator that spreads streams over engines.
    :param select: returns the engines to which a request may go, without the excluded ones if
        others remain.
    :param select_holders: returns the engines that may hold a copy of a stream of an engine.
    """

    fleet: EndpointFleet
    usage: Mapping[str, EngineUsage]
    rates: PrefillRates
    failure_domain: str
    now: float
    rng: random.Random
    select: Callable[[Sequence[EndpointState], Collection[str]], Sequence[EndpointState]] = (
        select_all
    )
    select_holders: Callable[[Sequence[EndpointState], EndpointState], Sequence[EndpointState]] = (
        select_all
    )

    def list_loads(self, service: str, limits: EngineLimits) -> list[EngineLoad]:
        """Return the load of the engines that a new stream may use.

        :param service: name of the service.
        :param limits: limits of its engines.
        """
        return [self._create_load(state, limits) for state in self._list_healthy(service)]

    def _create_load(self, state: EndpointState, limits: EngineLimits) -> EngineLoad:
        usage, record = self._get_usage(state), state.record
        penalty = FAILURE_COST_SECONDS * state.failure_ratio
        if record.failure_domain != self.failure_domain:
            penalty += CROSS_DOMAIN_SECONDS
        return EngineLoad(
            state=state,
            prefill_rate=self.rates.get(record.endpoint_id, self.now),
            slots=limits.slots,
            memory_tokens=limits.memory_tokens,
            penalty_seconds=penalty,
            running=usage.running,
            prefill_tokens=usage.prefill_tokens,
            reserved_tokens=usage.memory_tokens + usage.copy_tokens,
        )

    def rank_engines(
        self,
        service: str,
        limits: EngineLimits,
        *,
        prompt_tokens: int,
        total_tokens: int,
        tried: Collection[str] = (),
    ) -> list[EndpointState]:
        """Return the engines for a new stream, the chosen one first; none if none is available.

        :param service: name of the service.
        :param limits: limits of its engines.
        :param prompt_tokens: tokens of the prompt.
        :param total_tokens: maximum tokens of the stream, prompt and output together.
        :param tried: ids of engines to exclude.
        """
        healthy = self.select(self._list_healthy(service), tried)
        usable = [state for state in healthy if state.record.endpoint_id not in tried]
        if not usable:
            return []

        def estimate_cost(state: EndpointState) -> float:
            usage = self._get_usage(state)
            seconds = self.estimate_prefill(state, prompt_tokens)
            seconds += STREAM_DELAY_SECONDS * usage.running
            seconds += FAILURE_COST_SECONDS * state.failure_ratio
            if state.record.failure_domain != self.failure_domain:
                seconds += CROSS_DOMAIN_SECONDS
            return seconds + self._estimate_overload_cost(state, limits, total_tokens)

        chosen = choose_cheap(self.rng, usable, estimate_cost, SPREAD_SECONDS)
        others = [state for state in usable if state is not chosen]
        return [chosen, *sorted(others, key=estimate_cost)]

    def choose_copy_holder(
        self,
        service: str,
        limits: EngineLimits,
        *,
        engine: EndpointState,
        total_tokens: int,
        tried: Collection[str] = (),
        only_with_room: bool = False,
    ) -> EndpointState | None:
        """Return the engine to hold the copy of a stream, ``None`` if no engine can hold it.

        The copy is placed in another failure domain than the stream. There is none if the engines
        of the service do not support copies.

        :param service: name of the service.
        :param limits: limits of its engines.
        :param engine: the engine that runs the stream.
        :param total_tokens: maximum tokens of the stream, prompt and output together.
        :param tried: ids of engines to exclude.
        :param only_with_room: true if the copy must not exceed the memory of its holder.
        """
        domain = engine.record.failure_domain
        usable = [
            state
            for state in self.select_holders(self._list_healthy(service), engine)
            if state.record.failure_domain != domain and state.record.endpoint_id not in tried
        ]
        if only_with_room:
            usable = [state for state in usable if self._has_room(state, limits, total_tokens)]
        if not limits.supports_copies or not usable:
            return None

        def estimate_cost(state: EndpointState) -> float:
            usage = self._get_usage(state)
            reserved_ratio = (usage.memory_tokens + usage.copy_tokens) / limits.memory_tokens
            return (
                reserved_ratio
                + state.failure_ratio
                + self._estimate_overload_cost(state, limits, total_tokens)
            )

        return choose_cheap(self.rng, usable, estimate_cost, SPREAD_MEMORY_RATIO)

    def estimate_prefill(self, state: EndpointState, prompt_tokens: int) -> float:
        """Return the expected time in seconds until an engine has prefilled a prompt.

        :param state: the engine.
        :param prompt_tokens: tokens of the prompt that the engine has to prefill.
        """
        return self.count_prefill(state, prompt_tokens) / self.rates.get(
            state.record.endpoint_id, self.now
        )

    def count_prefill(self, state: EndpointState, prompt_tokens: int) -> int:
        """Return the tokens that an engine has to prefill until a prompt is done.

        :param state: the engine.
        :param prompt_tokens: tokens of the prompt that the engine has to prefill.
        """
        return self._get_usage(state).prefill_tokens + prompt_tokens

    def _list_healthy(self, service: str) -> list[EndpointState]:
        states = [state for state in self.fleet.list_open(service, self.now) if not state.lost]
        unsuspected = [
            state
            for state in states
            if not self.fleet.is_domain_suspect(service, state.record.failure_domain, self.now)
        ]
        return unsuspected or states

    def _get_usage(self, state: EndpointState) -> EngineUsage:
        return self.usage.get(state.record.endpoint_id, NO_USAGE)

    def _has_room(self, state: EndpointState, limits: EngineLimits, total_tokens: int) -> bool:
        usage = self._get_usage(state)
        reserved = usage.memory_tokens + usage.copy_tokens + total_tokens
        return reserved <= MEMORY_RATIO * limits.memory_tokens

    def _estimate_overload_cost(
        self, state: EndpointState, limits: EngineLimits, total_tokens: int
    ) -> float:
        usage = self._get_usage(state)
        reserved = usage.memory_tokens + usage.copy_tokens + total_tokens
        excess = reserved / limits.memory_tokens - MEMORY_RATIO
        return OVERLOAD_SECONDS * max(0.0, excess) + (
            OVERLOAD_SECONDS if usage.running >= limits.slots else 0.0
        )
