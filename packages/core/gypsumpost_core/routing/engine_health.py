"""Health of an engine: whether it should receive new requests."""

import attrs

from gypsumpost_core.generations.attempt_outcome import AttemptOutcome
from gypsumpost_core.routing.routing_settings import RoutingSettings
from gypsumpost_core.smoothed_value import SmoothedValue


@attrs.define(kw_only=True)
class EngineHealth:
    """Death, slow start and ejection of one engine, as stored deadlines.

    A death is observed; it excludes the engine until a load report arrives or a deadline passes.
    An ejection is inferred from statistics, so the router limits the ejected fraction.
    """

    settings: RoutingSettings
    boot_id: str = ""
    down_until: float = 0.0
    ejected_until: float = 0.0
    _down_time: float = 0.0
    _returned_at: float = float("-inf")
    _failures: SmoothedValue = attrs.field(factory=lambda: SmoothedValue(weight=0.2))

    def observe_boot(self, boot_id: str, now: float) -> bool:
        """Record the boot id of a load report.

        :returns: true if the engine has restarted since the last report.
        """
        restarted = bool(self.boot_id) and boot_id != self.boot_id
        if restarted or self.is_down(now):
            self.down_until = 0.0
            self._returned_at = now
        self.boot_id = boot_id
        return restarted

    def observe_end(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome of an attempt."""
        if outcome is AttemptOutcome.CANCELLED:
            return
        lost = outcome in (AttemptOutcome.DIED, AttemptOutcome.SILENT)
        if lost and self.is_down(now):
            # All streams of a dead engine end at about the same time; they count as one death.
            return
        self._failures.observe(0.0 if outcome is AttemptOutcome.FINISHED else 1.0)
        if lost:
            self._mark_down(now)
        elif outcome is AttemptOutcome.FINISHED:
            self._down_time = 0.0

    def is_down(self, now: float) -> bool:
        """Return true while the engine is considered dead."""
        return now < self.down_until

    def is_ejected(self, now: float) -> bool:
        """Return true while the engine is ejected."""
        return now < self.ejected_until

    def is_failing(self) -> bool:
        """Return true if the share of failed attempts reaches the limit for ejection."""
        enough = self._failures.count >= self.settings.ejection_samples
        return enough and self._failures.mean >= self.settings.failure_ratio

    def eject(self, now: float) -> None:
        """Exclude the engine for ``ejection_time``; afterwards it returns with a slow start."""
        self.ejected_until = now + self.settings.ejection_time
        self._returned_at = self.ejected_until
        self._failures = SmoothedValue(weight=0.2)

    def get_start_limit(self, slots: int, now: float) -> int:
        """Return the limit of this daemon's concurrent attempts during the slow start."""
        progress = (now - self._returned_at) / self.settings.slow_start
        if progress >= 1:
            return 1 << 30
        return 1 + int(max(0.0, progress) * slots)

    def _mark_down(self, now: float) -> None:
        doubled = 2 * self._down_time
        limited = min(doubled, self.settings.down_time_limit)
        self._down_time = max(self.settings.down_time, limited)
        self.down_until = now + self._down_time
        self._returned_at = self.down_until
