"""Decides whether a stream stays with an engine that has sent no event for a while.

The load pattern: many hosts send long prompts to the same engines after the loss of a domain. The
prompts then take longer than the objective, although the engines work on them. Leaving such an
engine discards the prefilled part, adds the whole prompt to another engine and makes the stream
later than waiting does. An engine that has hung, or that has dropped the request, looks the same on
the connection, so it is asked which requests it works on.
"""

import attrs

from gypsumpost_core.gateway.engine_work import EngineWork

MIN_CHECK_SECONDS = 0.12
"""Minimum check delay; covers pauses in a stream while a loaded engine prefills other prompts."""

CHECK_GAP_FACTOR = 2.5
"""Multiple of the usual event interval after which an engine is checked."""

MAX_CHECK_SECONDS = 0.3
"""Maximum check delay: a stream is late after a pause of 0.7 s, also at a slow engine."""

PREFILL_CHECK_SECONDS = 0.25
"""Shortest interval of checks while the prompt is prefilled."""

PREFILL_CHECK_FRACTION = 0.125
"""Fraction of the objective of the first event that a dark engine may cost before it is checked."""

PREFILL_REPORT_FACTOR = 1.5
"""Multiple of the expected prefill time after which the engine is asked for its work."""

PREFILL_REPORT_SECONDS = 0.5
"""Added to it, because an engine's report lags behind by a few hundred milliseconds."""

REPORT_SECONDS = 0.45
"""Silence within a stream after which the engine is asked for its work; a slow engine that prefills
another prompt is silent for 0.3 s."""

REPORT_INTERVAL_SECONDS = 0.5
"""Interval between two questions about the same request."""

STALLED_SECONDS = 5.0
"""Silence after which an engine that lists the request, but makes no event of it, has stalled."""

UNANSWERED_SECONDS = 2.5
"""Silence within a stream after which an engine that does not report its work has hung."""


def compute_check_delay(event_gap: float, *, prefilling: bool, objective: float = 0.0) -> float:
    """Return the time without events, in seconds, after which an engine is checked.

    :param event_gap: usual interval between its events in seconds, 0 if unknown.
    :param prefilling: true if no event has been received yet.
    :param objective: target latency of the first event in seconds, 0 if the caller has received
        events and would see a pause.
    """
    if prefilling:
        return max(PREFILL_CHECK_SECONDS, PREFILL_CHECK_FRACTION * objective)
    return min(MAX_CHECK_SECONDS, max(MIN_CHECK_SECONDS, CHECK_GAP_FACTOR * event_gap))


@attrs.frozen(kw_only=True)
class EngineSilence:
    """Time for which an engine has sent no event of a stream.

    :param seconds: time since the last event, or since the request was sent.
    :param prefilling: true if the engine still has to prefill the prompt.
    :param started: true if the engine has sent an event; false also while a resumed stream waits.
    :param prefill_seconds: expected time to the first event.
    :param objective: target latency of the first event in seconds.
    :param has_copy: true if another engine holds a copy from which the stream can be resumed.
    :param made_before: events that the engine had made when it was asked before in this silence,
        ``None`` if it was not asked or did not list the request.
    """

    seconds: float
    prefilling: bool
    started: bool
    prefill_seconds: float
    objective: float
    has_copy: bool
    made_before: int | None = None

    @property
    def report_after(self) -> float:
        """Silence in seconds after which the engine is asked for its work."""
        if not self.prefilling:
            return REPORT_SECONDS
        expected = PREFILL_REPORT_FACTOR * self.prefill_seconds + PREFILL_REPORT_SECONDS
        return min(expected, self.objective)

    def is_abandoned(self, work: EngineWork | None, request_id: str) -> bool:
        """Return true if the stream should go on elsewhere.

        :param work: what the engine reports, ``None`` if it does not report its work.
        :param request_id: id of the request at the engine.
        """
        if work is None:
            limit = self.objective if self.prefilling else UNANSWERED_SECONDS
            return self.seconds > limit
        made = work.running.get(request_id)
        if made is not None:
            return self._is_stalled(made)
        # A request that is not running waits for its turn, or was preempted. A preempted one goes
        # on sooner from its copy.
        return not work.unstarted or (self.started and self.has_copy)

    def _is_stalled(self, made: int) -> bool:
        """Return true if the engine makes events that do not arrive, or makes none for long."""
        if self.made_before is None:
            return False
        return made > self.made_before or self.seconds > STALLED_SECONDS
