"""Table of the requests of this daemon that run on each engine."""

import attrs


@attrs.define(kw_only=True)
class RunTable:
    """Start times of runs by engine and fingerprint, in monotonic time."""

    _by_engine: dict[str, dict[str, list[float]]] = attrs.field(factory=dict)
    _by_fingerprint: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def add(self, fingerprint: str, engine: str, now: float) -> None:
        """Record the start of a run."""
        runs = self._by_engine.setdefault(engine, {})
        runs.setdefault(fingerprint, []).append(now)
        engines = self._by_fingerprint.setdefault(fingerprint, {})
        engines[engine] = engines.get(engine, 0) + 1

    def remove(self, fingerprint: str, engine: str) -> float | None:
        """Remove the oldest run of a request on an engine.

        :returns: its start time, ``None`` if there is no such run.
        """
        runs = self._by_engine.get(engine, {})
        starts = runs.get(fingerprint)
        if not starts:
            return None
        started_at = starts.pop(0)
        if not starts:
            del runs[fingerprint]
        self._decrement(fingerprint, engine)
        return started_at

    def remove_engine(self, engine: str) -> dict[str, float]:
        """Remove all runs of an engine; return the latest start time of each fingerprint."""
        runs = self._by_engine.pop(engine, {})
        for fingerprint in runs:
            engines = self._by_fingerprint[fingerprint]
            del engines[engine]
            if not engines:
                del self._by_fingerprint[fingerprint]
        return {fingerprint: max(starts) for fingerprint, starts in runs.items()}

    def list_engines(self, fingerprint: str) -> frozenset[str]:
        """Return the engines on which a request runs."""
        return frozenset(self._by_fingerprint.get(fingerprint, {}))

    def find_oldest_start(self, fingerprint: str) -> float | None:
        """Return the start time of the oldest run of a request, ``None`` if it does not run."""
        engines = self._by_fingerprint.get(fingerprint, {})
        starts = [self._by_engine[engine][fingerprint][0] for engine in engines]
        return min(starts, default=None)

    def list_busy(self) -> frozenset[str]:
        """Return the engines that run requests of this daemon."""
        return frozenset(engine for engine, runs in self._by_engine.items() if runs)

    def count(self, engine: str) -> int:
        """Return the number of different requests on an engine."""
        return len(self._by_engine.get(engine, {}))

    def _decrement(self, fingerprint: str, engine: str) -> None:
        engines = self._by_fingerprint[fingerprint]
        engines[engine] -= 1
        if not engines[engine]:
            del engines[engine]
        if not engines:
            del self._by_fingerprint[fingerprint]
