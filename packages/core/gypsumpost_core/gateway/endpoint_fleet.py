"""The endpoints of all services and their failure state."""

from collections import OrderedDict
from collections.abc import Collection, Iterator

import attrs

from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.endpoint_state import NEVER, EndpointState
from gypsumpost_core.gateway.unavailability import Unavailability, find_unavailability

DOMAIN_SUSPICION_SECONDS = 1.3
"""Time for which new streams avoid a domain after a loss, as its engines often fail together."""

PERHAPS_AVAILABLE = (None, Unavailability.LOST, Unavailability.LIMITED)
"""What does not speak against an endpoint if no other one remains."""

MAX_LEAVING = 1024
"""Processes kept that have said that they leave; their entries may come back from a peer."""


@attrs.define(kw_only=True)
class EndpointFleet:
    """Tracks which endpoints exist and which of them are marked lost.

    Losses are observed by this host or reported by its peers. A loss applies to one process of an
    endpoint: it ends when a new process with the same id starts, or when the endpoint answers.
    """

    _states: dict[str, EndpointState] = attrs.field(factory=dict, init=False)
    _domain_losses: dict[tuple[str, str], float] = attrs.field(factory=dict, init=False)
    _replaced: dict[str, int] = attrs.field(factory=dict, init=False)
    _displaced: dict[str, EndpointRecord] = attrs.field(factory=dict, init=False)
    _leaving: OrderedDict[EndpointStart, None] = attrs.field(factory=OrderedDict, init=False)

    def put(self, record: EndpointRecord) -> None:
        """Add an endpoint or update its record.

        Records of replaced processes are ignored.

        :param record: the record.
        """
        if self._replaced.get(record.endpoint_id) == record.started_at:
            return
        self._displaced.pop(record.endpoint_id, None)
        for other in self._list_same_address(record):
            # If two endpoints have the same address, the later process replaces the earlier one.
            if other.started_at > record.started_at:
                self._displaced[record.endpoint_id] = record
                return
            del self._states[other.endpoint_id]
            self._displaced[other.endpoint_id] = other
        state = self._states.get(record.endpoint_id)
        if state is None or state.record.started_at != record.started_at:
            start = EndpointStart(endpoint_id=record.endpoint_id, started_at=record.started_at)
            self._states[record.endpoint_id] = EndpointState(
                record=record, said_leaving=start in self._leaving
            )
        else:
            state.record = record

    def mark_leaving(self, start: EndpointStart) -> bool:
        """Record that a process has said that it leaves, even if its entry is not known yet.

        :param start: the process.
        :returns: true if this was not known before.
        """
        if start in self._leaving:
            return False
        self._leaving[start] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        state = self._states.get(start.endpoint_id)
        if state is not None and state.record.started_at == start.started_at:
            state.said_leaving = True
        return True

    def list_leaving(self) -> tuple[EndpointStart, ...]:
        """Return the known processes that have said that they leave."""
        return tuple(
            EndpointStart(endpoint_id=state.record.endpoint_id, started_at=state.record.started_at)
            for state in self._states.values()
            if state.said_leaving
        )

    def close(self, record: EndpointRecord, until: float) -> None:
        """Send no request to a process until a time, as it has asked for.

        :param record: the process, as it was when it was used.
        :param until: monotonic time in seconds.
        """
        state = self._states.get(record.endpoint_id)
        if state is not None and state.record.started_at == record.started_at:
            state.closed_until = max(state.closed_until, until)

    def mark_limited(self, record: EndpointRecord, until: float) -> None:
        """Record until when a process has no room within the limit that it has named.

        :param record: the process, as it was when it was used.
        :param until: monotonic time in seconds.
        """
        state = self._states.get(record.endpoint_id)
        if state is not None and state.record.started_at == record.started_at:
            state.limited_until = until

    def clear_limits(self, keys: Collection[str]) -> None:
        """Record that processes have no limit any more.

        :param keys: the processes.
        """
        for state in self._states.values():
            if state.record.process_key in keys:
                state.limited_until = NEVER

    def mark_replaced(self, record: EndpointRecord) -> None:
        """Remove an endpoint whose address is now used by another endpoint.

        :param record: the endpoint that no longer exists.
        """
        self._replaced[record.endpoint_id] = record.started_at
        self._displaced.pop(record.endpoint_id, None)
        if self._states.pop(record.endpoint_id, None) is not None:
            self._restore(record.address)

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint whose entry was removed from the directory."""
        state = self._states.pop(endpoint_id, None)
        self._replaced.pop(endpoint_id, None)
        self._displaced.pop(endpoint_id, None)
        if state is not None:
            self._restore(state.record.address)

    def _restore(self, address: str) -> None:
        """Add the endpoint that had an address before, whose entry still exists, if there is one.

        It counts as lost, so that it is probed before it is used.
        """
        others = [record for record in self._displaced.values() if record.address == address]
        if others:
            newest = max(others, key=lambda record: record.started_at)
            self.put(newest)
            self._states[newest.endpoint_id].lost_at = 0.0

    def find(self, endpoint_id: str) -> EndpointState | None:
        """Return an endpoint by its id, ``None`` if it does not exist."""
        return self._states.get(endpoint_id)

    def find_running(self, record: EndpointRecord) -> EndpointState | None:
        """Return the state of a process, ``None`` if it has failed, restarted or leaves.

        :param record: the process, as it was when it was used.
        """
        state = self._states.get(record.endpoint_id)
        if state is None or state.lost or state.record.started_at != record.started_at:
            return None
        return None if state.said_leaving else state

    def find_open(self, record: EndpointRecord, now: float) -> EndpointState | None:
        """Return the state of a process that takes requests now, ``None`` if it does not.

        :param record: the process, as it was when it was used.
        :param now: monotonic time in seconds.
        """
        state = self.find_running(record)
        return None if state is None or state.is_closed(now) else state

    def list_open(self, service: str, now: float) -> list[EndpointState]:
        """Return the endpoints of a service that want requests now.

        Lost ones and those that have no room within their limit at the moment are included.

        :param service: name of the service.
        :param now: monotonic time in seconds.
        """
        return [
            state
            for state in self.list_service(service)
            if find_unavailability(state, now) in PERHAPS_AVAILABLE
        ]

    def find_opening(self, service: str, now: float) -> float | None:
        """Return when the first endpoint of a service takes requests again, if none does now.

        :param service: name of the service.
        :param now: monotonic time in seconds.
        :returns: monotonic time in seconds, ``None`` if an endpoint is open or none will open.
        """
        openings = []
        for state in self.list_service(service):
            reason = find_unavailability(state, now)
            if reason is None:
                return None
            if reason is not Unavailability.LOST:
                openings.append(max(state.closed_until, state.limited_until))
        return min(openings, default=None)

    def __iter__(self) -> Iterator[EndpointState]:
        return iter(list(self._states.values()))

    def list_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service that accept new requests, including lost ones."""
        return [
            state
            for state in self._states.values()
            if state.record.service == service
            and not state.record.leaving
            and not state.said_leaving
        ]

    def mark_lost(
        self,
        endpoint_id: str,
        started_at: int,
        now: float,
        *,
        refused: bool = False,
        adopted: bool = False,
    ) -> bool:
        """Mark an endpoint lost because it does not answer.

        :param endpoint_id: the endpoint.
        :param started_at: start time of the observed process, see :class:`EndpointRecord`.
        :param now: monotonic time in seconds.
        :param refused: true if its address refuses connections.
        :param adopted: true if only peers have observed the loss.
        :returns: true if this call marked the endpoint lost; false if it was lost already, does not
            exist or has been restarted since the observation.
        """
        state = self._states.get(endpoint_id)
        if state is None or state.record.started_at != started_at:
            return False
        newly_lost = not state.lost
        state.refused = state.refused or refused
        state.loss_adopted = adopted and (newly_lost or state.loss_adopted)
        if newly_lost:
            state.lost_at = now
        self.mark_domain_suspect(state.record, now)
        return newly_lost

    def has_crashed(self, record: EndpointRecord) -> bool:
        """Return true if a process is known to have ended rather than to be cut off or to leave.

        :param record: the process, as it was when it was used.
        """
        state = self._states.get(record.endpoint_id)
        if state is None or state.record.leaving:
            return False
        return state.refused or state.record.started_at != record.started_at

    def mark_domain_suspect(self, record: EndpointRecord, now: float) -> None:
        """Mark the domain of a lost endpoint as suspect for its service.

        :param record: the lost endpoint.
        :param now: monotonic time in seconds.
        """
        self._domain_losses[(record.service, record.failure_domain)] = now

    def mark_alive(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint answered, and clear its loss."""
        state = self._states.get(endpoint_id)
        if state is not None:
            state.lost_at = NEVER
            state.refused = False
            state.loss_adopted = False
            state.alive_at = now

    def get_domain_loss(self, service: str, failure_domain: str) -> float:
        """Return the monotonic time of the last loss of an endpoint of a service in a domain.

        :param service: name of the service.
        :param failure_domain: name of the domain.
        :returns: seconds, ``NEVER`` if there was no loss.
        """
        return self._domain_losses.get((service, failure_domain), NEVER)

    def is_domain_suspect(self, service: str, failure_domain: str, now: float) -> bool:
        """Return true within ``DOMAIN_SUSPICION_SECONDS`` of a loss in the domain."""
        lost_at = self.get_domain_loss(service, failure_domain)
        return now < lost_at + DOMAIN_SUSPICION_SECONDS

    def _list_same_address(self, record: EndpointRecord) -> list[EndpointRecord]:
        return [
            state.record
            for state in self._states.values()
            if state.record.address == record.address
            and state.record.endpoint_id != record.endpoint_id
        ]
