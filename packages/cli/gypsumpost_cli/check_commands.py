"""The command that checks a configuration or a list before it is sent."""

import os
from pathlib import Path

from result import Err, Ok, Result

from gypsumpost_cli import checked_configuration, checked_list
from gypsumpost_cli.check_forms import CHECK_FORMS
from gypsumpost_cli.checked_files import CheckedFiles
from gypsumpost_cli.command_failure import EXIT_REFUSED, EXIT_UNREACHABLE, CommandFailure
from gypsumpost_cli.command_registry import COMMANDS
from gypsumpost_cli.report_formats import REPORT_FORMATS
from gypsumpost_core.checks.check_report import CheckReport
from gypsumpost_core.settings.settings_reader import get_variable_name

FORM_MODULES = (checked_configuration, checked_list)
"""Modules that register forms when they are imported."""

MEGABYTE = 10**6


@COMMANDS.register("check")
def check(
    file: Path,
    *,
    form: str = "configuration",
    against: Path | None = None,
    other_list: Path | None = None,
    memory_mb: int | None = None,
    adapter: str | None = None,
    format: str = "text",
) -> Result[str, CommandFailure]:
    """Check a configuration or a list before it is sent.

    :param file: the file
    :param form: what the file holds: configuration, plans or allowances
    :param against: file with the version in force; differences from it are shown
    :param other_list: file with the other one of the two lists, to check both together
    :param memory_mb: memory of the smallest host in megabytes
    :param adapter: module of the platform's adapter; the default is that of the environment
    :param format: text or json
    """
    unknown = _find_unknown_choice(form, format)
    if unknown:
        return Err(CommandFailure(message=unknown, exit_code=EXIT_UNREACHABLE))
    content = _read_file(file)
    in_force, other = _read_optional(against), _read_optional(other_list)
    for read in (content, in_force, other):
        if isinstance(read, Err):
            return read
    files = CheckedFiles(
        content=content.unwrap(),
        in_force=in_force.unwrap(),
        other_list=other.unwrap(),
        memory_bytes=None if memory_mb is None else memory_mb * MEGABYTE,
        adapter=adapter or os.environ.get(get_variable_name("adapter"), ""),
    )
    checked = CHECK_FORMS.create(form, files=files)
    if isinstance(checked, Err):
        return _refuse(file, checked.err_value)
    return _report(file, checked.ok_value, format)


def _find_unknown_choice(form: str, report_format: str) -> str:
    for flag, value, registry in (
        ("--form", form, CHECK_FORMS),
        ("--format", report_format, REPORT_FORMATS),
    ):
        if value not in registry.names():
            return f"{flag}: {value!r} is not accepted; accepted: {', '.join(registry.names())}"
    return ""


def _read_file(path: Path) -> Result[bytes, CommandFailure]:
    try:
        return Ok(path.read_bytes())
    except (OSError, ValueError) as error:
        return _refuse(path, str(error))


def _read_optional(path: Path | None) -> Result[bytes | None, CommandFailure]:
    if path is None:
        return Ok(None)
    read = _read_file(path)
    return read if isinstance(read, Err) else Ok(read.ok_value)


def _refuse(path: Path, reason: str) -> Err[CommandFailure]:
    message = f"{path} cannot be read: {reason}"
    return Err(CommandFailure(message=message, exit_code=EXIT_UNREACHABLE))


def _report(file: Path, report: CheckReport, report_format: str) -> Result[str, CommandFailure]:
    text = REPORT_FORMATS.create(report_format, report=report)
    if not report.findings:
        return Ok(text)
    outcome = "hosts take it" if report.accepted else "hosts do not take it"
    count = len(report.findings)
    message = f"{file}: {count} finding{'s' if count > 1 else ''}; {outcome}"
    return Err(CommandFailure(message=message, exit_code=EXIT_REFUSED, output=text))
