"""Lets one request at a time try whether endpoints still crash on a cause."""

import attrs

from gypsumpost_core.crashes.blame import Blame
from gypsumpost_core.crashes.crash_key import CrashKey
from gypsumpost_core.crashes.crash_trial import CrashTrial


@attrs.define(kw_only=True)
class CrashTrials:
    """The trials of this host, by cause."""

    _trials: dict[CrashKey, CrashTrial] = attrs.field(factory=dict, init=False)

    def find(self, blame: Blame, now: float) -> CrashTrial | None:
        """Return the trial that has not ended, ``None`` if there is none.

        :param blame: the cause; a crash after the start of the trial ends it.
        :param now: monotonic time in seconds.
        """
        trial = self._trials.get(blame.key)
        if trial is None or now >= trial.ends_at or blame.last_at > trial.started_at:
            return None
        return trial

    def start(self, blame: Blame, trial: CrashTrial) -> None:
        """Record that a request is let through.

        :param blame: the cause.
        :param trial: the request.
        """
        self._trials[blame.key] = trial

    def drop(self, blame: Blame) -> None:
        """Forget the trial of a cause that is no longer refused.

        :param blame: the cause.
        """
        self._trials.pop(blame.key, None)
