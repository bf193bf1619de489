"""Formats of the report of a check."""

import attrs
import orjson

from gypsumpost_core.checks.check_report import CheckReport
from gypsumpost_core.registry import Registry

REPORT_FORMATS: Registry[str] = Registry(behaviour="format of a report")
"""Functions of a :class:`CheckReport` that return its text."""


@REPORT_FORMATS.register("text")
def format_text(*, report: CheckReport) -> str:
    """Return a report for a reader.

    :param report: the report.
    """
    lines = [
        f"{finding.severity.value}: {finding.subject}: {finding.message} [{finding.check}]"
        for finding in report.findings
    ]
    if not report.findings:
        lines.append("no findings")
    if report.differences:
        lines += ["", "differences from the version in force:"]
    for difference in report.differences:
        lines.append(f"{difference.subject}: {difference.change}")
        if difference.effect:
            lines.append(f"    {difference.effect}")
    return "\n".join(lines)


@REPORT_FORMATS.register("json")
def format_json(*, report: CheckReport) -> str:
    """Return a report for a program.

    :param report: the report.
    """
    document = attrs.asdict(report) | {"accepted": report.accepted}
    return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()
