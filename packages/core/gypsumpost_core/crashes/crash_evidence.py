"""The crashes and survivals that this host and its peers have seen."""

from collections import Counter

import attrs

from gypsumpost_core.crashes.crash import Crash
from gypsumpost_core.crashes.crash_attribution import compute_threshold
from gypsumpost_core.crashes.crash_key import CrashKey
from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.crashes.survival_report import SurvivalReport
from gypsumpost_core.crashes.survivals import Survivals
from gypsumpost_core.gateway.endpoint_start import EndpointStart

KEPT_SECONDS = 1800.0
"""Time until a crash is forgotten."""

MAX_CRASHES = 256
"""Crashes kept; the loss of a domain of a large fleet is a hundred of them."""

MAX_SUSPECTS = 32
"""Suspects kept of one crash; an endpoint reads few prompts at a time."""


@attrs.define(kw_only=True)
class CrashEvidence:
    """Keeps a bounded number of crashes with their suspects, and the survivals.

    ``proven`` holds the causes that are refused; the crashes under them are dropped last.
    """

    survivals: Survivals = attrs.field(factory=Survivals, init=False)
    proven: frozenset[CrashKey] = attrs.field(default=frozenset(), init=False)
    _crashes: dict[EndpointStart, Crash] = attrs.field(factory=dict, init=False)
    # Crashes under each key that no survival has followed.
    _suspected: Counter[CrashKey] = attrs.field(factory=Counter, init=False)

    def list_crashes(self) -> list[Crash]:
        """Return the losses of endpoints that are kept."""
        return list(self._crashes.values())

    def may_be_cause(self, suspect: CrashSuspect, now: float) -> bool:
        """Return true if a request, or a part of it, was in enough crashes to be refused.

        :param suspect: the request.
        :param now: monotonic time in seconds.
        """
        return any(
            self._suspected[key] >= compute_threshold(self.survivals.get(key).decay(now))
            for key in suspect.keys
        )

    def add_loss(self, process: EndpointStart, failure_domain: str, at: float) -> Crash:
        """Record the loss of an endpoint process, and return what is known of it.

        :param process: the endpoint process.
        :param failure_domain: its failure domain.
        :param at: monotonic time in seconds.
        """
        crash = self._crashes.get(process)
        if crash is None:
            crash = Crash(process=process, failure_domain=failure_domain, at=at)
            self._crashes[process] = crash
            if len(self._crashes) > MAX_CRASHES:
                self._drop(min(self._crashes.values(), key=self._rank))
        # Hosts that had no request there notice the loss later.
        crash.at = min(crash.at, at)
        return crash

    def add_suspect(self, report: CrashReport, at: float) -> bool:
        """Record a request that an endpoint had when it crashed.

        :param report: the request and the endpoint.
        :param at: monotonic time of the crash in seconds.
        :returns: true if this was not known before.
        """
        crash = self.add_loss(report.process, report.failure_domain, at)
        if report.suspect in crash.suspects or len(crash.suspects) >= MAX_SUSPECTS:
            return False
        known = crash.list_keys()
        crash.suspects.add(report.suspect)
        self._suspected.update(key for key in report.suspect.keys if key not in known)
        return True

    def add_survival(self, suspect: CrashSuspect, now: float) -> list[CrashKey]:
        """Record that an endpoint has run a request, and return the keys that this clears.

        :param suspect: the request.
        :param now: monotonic time in seconds.
        """
        for key in suspect.keys:
            self.survivals.add(key, now)
        suspected = [key for key in suspect.keys if self._suspected[key] or key in self.proven]
        for key in suspected:
            del self._suspected[key]
        return suspected

    def merge_survival(self, report: SurvivalReport, now: float) -> None:
        """Apply the survivals that a peer has counted.

        :param report: the report.
        :param now: monotonic time in seconds.
        """
        survived_at = now - report.age_seconds
        self.survivals.merge(report.key, report.count, survived_at)
        later = [crash for crash in self._crashes.values() if crash.at > survived_at]
        if not any(crash.list_containing(report.key) for crash in later):
            del self._suspected[report.key]

    def expire(self, now: float) -> None:
        """Forget crashes that are older than ``KEPT_SECONDS``.

        :param now: monotonic time in seconds.
        """
        for crash in self.list_crashes():
            if crash.at < now - KEPT_SECONDS:
                self._drop(crash)

    def _rank(self, crash: Crash) -> tuple[bool, bool, float]:
        """Return the order in which crashes are dropped."""
        proves = bool(self.proven) and not self.proven.isdisjoint(crash.list_keys())
        return (proves, bool(crash.suspects), crash.at)

    def _drop(self, crash: Crash) -> None:
        del self._crashes[crash.process]
        self._suspected.subtract(crash.list_keys())
        self._suspected = +self._suspected
