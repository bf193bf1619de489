"""What daemons tell each other about crash-causing requests."""

import attrs

from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.survival_report import SurvivalReport
from gypsumpost_core.suspicion.suspicion_report import SuspicionReport


@attrs.frozen(kw_only=True)
class QuarantineMessage:
    """Reports for the other daemons.

    :param suspicions: suspected requests.
    :param crashes: requests that engines had when they crashed.
    :param survivals: possible causes of crashes with which requests have run.
    """

    suspicions: tuple[SuspicionReport, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    survivals: tuple[SurvivalReport, ...] = ()

    @property
    def is_empty(self) -> bool:
        """True if there is nothing to send."""
        return not (self.suspicions or self.crashes or self.survivals)
