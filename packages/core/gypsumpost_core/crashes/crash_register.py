"""Finds out from the crashes of endpoints which requests and parts of prompts to refuse."""

from typing import TypeVar

import attrs

from gypsumpost_core.crashes.blame import Blame
from gypsumpost_core.crashes.crash import Crash
from gypsumpost_core.crashes.crash_attribution import CrashAttribution
from gypsumpost_core.crashes.crash_evidence import KEPT_SECONDS, CrashEvidence
from gypsumpost_core.crashes.crash_key import CrashKey
from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.crashes.survival_report import SurvivalReport
from gypsumpost_core.gateway.endpoint_start import EndpointStart

RESEND_SECONDS = 1.5
"""Time during which new evidence is sent to the peers repeatedly, as datagrams can be lost."""

REVIEW_SECONDS = 1.0
"""Interval at which refusals are reviewed without new evidence, because evidence ages."""

NEWER_SECONDS = 0.2
"""A survival that is newer by less is the same one, reported over another way."""

MAX_REPORTS = 48
"""Reports of each kind in one datagram; the newest ones."""

PROOFS_PER_CAUSE = 6
"""Crashes that are reported for each cause for as long as it is refused, to hosts that start."""


Key = TypeVar("Key")


@attrs.define(kw_only=True)
class CrashRegister:
    """Keeps the evidence of this host and its peers, and what follows from it.

    All hosts decide by themselves from the same evidence.
    """

    causes: dict[CrashKey, Blame] = attrs.field(factory=dict, init=False)
    _evidence: CrashEvidence = attrs.field(factory=CrashEvidence, init=False)
    _crash_reports: dict[tuple[EndpointStart, CrashSuspect], float] = attrs.field(
        factory=dict, init=False
    )
    _survival_reports: dict[CrashKey, float] = attrs.field(factory=dict, init=False)
    _changed: bool = attrs.field(default=False, init=False)
    _review_at: float = attrs.field(default=0.0, init=False)

    def add_loss(self, process: EndpointStart, failure_domain: str, now: float) -> None:
        """Record the loss of an endpoint, also one that no request is suspected of.

        :param process: the endpoint process.
        :param failure_domain: its failure domain.
        :param now: monotonic time in seconds.
        """
        self._evidence.expire(now)
        self._evidence.add_loss(process, failure_domain, now)
        # A further loss can only excuse.
        self._changed = self._changed or bool(self.causes)

    def add(self, report: CrashReport, now: float) -> bool:
        """Add a crash and schedule it to be sent to the peers.

        :param report: the endpoint and a request that it had.
        :param now: monotonic time in seconds.
        :returns: true if this was not known before.
        """
        crashed_at = now - report.age_seconds
        if report.age_seconds > KEPT_SECONDS or not self._evidence.add_suspect(report, crashed_at):
            return False
        self._crash_reports[(report.process, report.suspect)] = now + RESEND_SECONDS
        # A peer that has seen no survival would refuse what this host knows to be sound.
        for key in report.suspect.keys:
            if self._evidence.survivals.get(key).count:
                self._survival_reports[key] = now + RESEND_SECONDS
        if self._evidence.may_be_cause(report.suspect, now):
            self._changed = True
        return True

    def add_survival(self, suspect: CrashSuspect, now: float) -> bool:
        """Record that an endpoint has run a request without crashing.

        :param suspect: the request.
        :param now: monotonic time in seconds.
        :returns: true if the peers should know it.
        """
        cleared = self._evidence.add_survival(suspect, now)
        for key in cleared:
            self._survival_reports[key] = now + RESEND_SECONDS
        self._changed = self._changed or any(key in self.causes for key in cleared)
        return bool(cleared)

    def merge_survival(self, report: SurvivalReport, now: float) -> bool:
        """Apply the survivals that a peer has counted.

        :param report: the report.
        :param now: monotonic time in seconds.
        :returns: true if the other peers should know them.
        """
        known_at = self._evidence.survivals.get(report.key).at
        self._evidence.merge_survival(report, now)
        self._changed = self._changed or report.key in self.causes
        if now - report.age_seconds < known_at + NEWER_SECONDS:
            return False
        self._survival_reports[report.key] = now + RESEND_SECONDS
        return True

    def list_causes(self, suspect: CrashSuspect) -> list[Blame]:
        """Return the causes that a request contains, as of the last review.

        :param suspect: the request.
        """
        if not self.causes:
            return []
        return [self.causes[key] for key in suspect.keys if key in self.causes]

    def review(self, now: float) -> tuple[list[Blame], list[Blame]]:
        """Decide again if the evidence has changed or aged.

        :param now: monotonic time in seconds.
        :returns: the causes that are refused from now on, and those that are no longer refused.
        """
        if not self._changed and (not self.causes or now < self._review_at):
            return [], []
        self._evidence.expire(now)
        self._changed, self._review_at = False, now + REVIEW_SECONDS
        before = self.causes
        attribution = CrashAttribution(survivals=self._evidence.survivals, now=now)
        self.causes = attribution.find_causes(self._evidence.list_crashes())
        self._evidence.proven = frozenset(self.causes)
        refused = [blame for key, blame in self.causes.items() if key not in before]
        released = [blame for key, blame in before.items() if key not in self.causes]
        return refused, released

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the crashes to send to the peers: new ones, and the proofs of each cause.

        :param now: monotonic time in seconds.
        """
        self._crash_reports = keep_pending(self._crash_reports, now)
        pending = dict.fromkeys(list(self._crash_reports)[-MAX_REPORTS:])
        crashes = self._evidence.list_crashes()
        for cause in self.causes:
            pending.update(dict.fromkeys(list_proofs(cause, crashes)))
        known = {crash.process: crash for crash in crashes}
        return tuple(
            CrashReport(
                suspect=suspect,
                process=process,
                failure_domain=known[process].failure_domain,
                age_seconds=max(0.0, now - known[process].at),
            )
            for process, suspect in pending
            if process in known
        )

    def list_survivals(self, now: float) -> tuple[SurvivalReport, ...]:
        """Return the survivals to send to the peers.

        :param now: monotonic time in seconds.
        """
        self._survival_reports = keep_pending(self._survival_reports, now)
        reports = []
        for key in list(self._survival_reports)[-MAX_REPORTS:]:
            survival = self._evidence.survivals.get(key)
            age = max(0.0, now - survival.at)
            reports.append(SurvivalReport(key=key, count=survival.count, age_seconds=age))
        return tuple(reports)


def list_proofs(cause: CrashKey, crashes: list[Crash]) -> list[tuple[EndpointStart, CrashSuspect]]:
    """Return the latest crashes under a cause, each with one request, of different ones if known.

    :param cause: the cause.
    :param crashes: the known losses of endpoints.
    """
    proofs: list[tuple[EndpointStart, CrashSuspect]] = []
    used: set[bytes] = set()
    for crash in sorted(crashes, key=lambda kept: kept.at, reverse=True):
        containing = crash.list_containing(cause)
        if containing and len(proofs) < PROOFS_PER_CAUSE:
            chosen = min(containing, key=lambda s: (s.fingerprint in used, s.fingerprint))
            used.add(chosen.fingerprint)
            proofs.append((crash.process, chosen))
    return proofs


def keep_pending(reports: dict[Key, float], now: float) -> dict[Key, float]:
    """Return the reports that are still to be sent.

    :param reports: monotonic time in seconds until which each is sent.
    :param now: monotonic time in seconds.
    """
    return {report: until for report, until in reports.items() if until > now}
