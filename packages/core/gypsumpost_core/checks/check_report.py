"""Result of the check of one file."""

import attrs

from gypsumpost_core.checks.difference import Difference
from gypsumpost_core.checks.finding import Finding
from gypsumpost_core.checks.severity import Severity


@attrs.frozen(kw_only=True)
class CheckReport:
    """What the checks found in a file that can be read.

    :param findings: what is wrong with it.
    :param differences: how it differs from the version in force; empty if none was given.
    """

    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] = ()

    @property
    def accepted(self) -> bool:
        """True if the hosts take the file."""
        return all(finding.severity is not Severity.ERROR for finding in self.findings)
