"""The forms of files that can be checked."""

from result import Result

from gypsumpost_core.checks.check_report import CheckReport
from gypsumpost_core.registry import Registry

CHECK_FORMS: Registry[Result[CheckReport, str]] = Registry(behaviour="form of a file")
"""Functions of :class:`CheckedFiles` that check a file, or return why it cannot be read."""
