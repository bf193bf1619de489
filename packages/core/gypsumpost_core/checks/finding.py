"""A finding of a check."""

import attrs

from gypsumpost_core.checks.severity import Severity


@attrs.frozen(kw_only=True)
class Finding:
    """What is wrong with one entry.

    :param check: name of the check.
    :param subject: the entry, for example ``route lookup``.
    :param message: what is wrong, with the value and what is accepted.
    :param severity: whether the hosts take the file.
    """

    check: str
    subject: str
    message: str
    severity: Severity = Severity.WARNING
