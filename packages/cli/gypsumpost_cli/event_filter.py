"""Selects the events of a timeline."""

from collections.abc import Sequence

import attrs

from gypsumpost_cli.log_event import LogEvent


@attrs.frozen(kw_only=True)
class EventFilter:
    """Conditions that an event must all meet; empty ones match every event.

    :param request_id: id of a request; all events of its generations match too, whatever request
        id they have.
    :param generation_id: id of a generation.
    :param endpoint: name of an endpoint.
    :param workspace: name of a workspace; all events of its generations match too.
    :param host_id: host that wrote the event.
    :param first: earliest Unix time in seconds.
    :param last: latest Unix time in seconds.
    """

    request_id: str = ""
    generation_id: str = ""
    endpoint: str = ""
    workspace: str = ""
    host_id: str = ""
    first: float | None = None
    last: float | None = None

    def select(self, events: Sequence[LogEvent]) -> list[LogEvent]:
        """Return the events that meet all conditions, in their order.

        :param events: all events; the one that links a generation to a request or workspace may be
            anywhere among them.
        """
        request_generations = _find_generations(events, "request_id", self.request_id)
        workspace_generations = _find_generations(events, "workspace", self.workspace)
        return [
            event
            for event in events
            if self._matches_own_fields(event)
            and _matches_or_belongs(event, "request_id", self.request_id, request_generations)
            and _matches_or_belongs(event, "workspace", self.workspace, workspace_generations)
        ]

    def _matches_own_fields(self, event: LogEvent) -> bool:
        if self.generation_id and event.generation_id != self.generation_id:
            return False
        if self.endpoint and event.fields.get("endpoint") != self.endpoint:
            return False
        if self.host_id and event.host_id != self.host_id:
            return False
        if self.first is not None and event.time < self.first:
            return False
        return self.last is None or event.time <= self.last


def _find_generations(events: Sequence[LogEvent], field: str, value: str) -> set[str]:
    if not value:
        return set()
    generation_ids = {event.generation_id for event in events if event.fields.get(field) == value}
    return generation_ids - {""}


def _matches_or_belongs(event: LogEvent, field: str, value: str, generations: set[str]) -> bool:
    if not value or event.fields.get(field) == value:
        return True
    return event.generation_id in generations
