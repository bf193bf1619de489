"""Decides on each request whether endpoints crash on it, from the evidence of all hosts."""

from collections.abc import Callable

import attrs

from gypsumpost_core.crashes.blame import Blame
from gypsumpost_core.crashes.crash_key import CrashKey
from gypsumpost_core.crashes.crash_register import CrashRegister
from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.crashes.crash_trial import CrashTrial
from gypsumpost_core.crashes.crash_trials import CrashTrials
from gypsumpost_daemon.crashes.crash_evidence_log import log_blame


@attrs.define(kw_only=True)
class CrashCauses:
    """The causes of crashes that are refused, and the trials of whether they still are.

    :param is_responsible: returns true if this host, of all live ones, decides about a cause.
    """

    is_responsible: Callable[[CrashKey], bool]
    register: CrashRegister = attrs.field(factory=CrashRegister, init=False)
    _trials: CrashTrials = attrs.field(factory=CrashTrials, init=False)

    def __len__(self) -> int:
        return len(self.register.causes)

    def find(
        self, suspect: CrashSuspect, request_id: str, now: float, deadline: float
    ) -> Blame | None:
        """Return why a request must not run, ``None`` if it may.

        :param suspect: the request.
        :param request_id: its id.
        :param now: monotonic time in seconds.
        :param deadline: monotonic time in seconds at which the request ends at the latest.
        """
        self.review(now)
        for blame in self.register.list_causes(suspect):
            if not self._may_try(blame, request_id, now, deadline):
                return blame
        return None

    def review(self, now: float) -> None:
        """Decide again if there is new evidence, and log what has changed.

        :param now: monotonic time in seconds.
        """
        refused, released = self.register.review(now)
        for blame in refused:
            log_blame("requests are refused because endpoints crash on them", blame, now)
        for blame in released:
            self._trials.drop(blame)
            log_blame("requests are no longer refused", blame, now)

    def _may_try(self, blame: Blame, request_id: str, now: float, deadline: float) -> bool:
        trial = self._trials.find(blame, now)
        if trial is not None:
            return trial.request_id == request_id
        # One host decides for all, or each would try.
        if not blame.is_trial_due(now) or not self.is_responsible(blame.key):
            return False
        self._trials.start(
            blame, CrashTrial(request_id=request_id, started_at=now, ends_at=deadline)
        )
        log_blame("a request tries whether endpoints still crash on it", blame, now)
        return True
