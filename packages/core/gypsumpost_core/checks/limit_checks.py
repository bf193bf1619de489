"""Checks of the limits and the version of a configuration."""

from gypsumpost_core.checks.configuration_check import CONFIGURATION_CHECKS, ConfigurationSubject
from gypsumpost_core.checks.finding import Finding
from gypsumpost_core.checks.severity import Severity

MEBIBYTE = 1 << 20


@CONFIGURATION_CHECKS.register("caller-limits")
def find_closed_limits(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the limits that leave callers no room or time.

    :param subject: the configuration.
    """
    limits = subject.configuration.limits
    values = {
        "size of a head": limits.max_head,
        "time for a head": limits.head_seconds,
        "idle time": limits.idle_seconds,
    }
    findings = [
        _report("caller-limits", f"the {name} is {value:g}; accepted: above 0")
        for name, value in values.items()
        if value <= 0
    ]
    if limits.max_body < 0:
        message = f"the size of a body is {limits.max_body}; accepted: 0 or more"
        findings.append(_report("caller-limits", message))
    return findings


@CONFIGURATION_CHECKS.register("body-over-memory")
def find_body_over_memory(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return a finding if one body of the largest size exceeds the memory of a host.

    :param subject: the configuration.
    """
    memory, body = subject.memory_bytes, subject.configuration.limits.max_body
    if memory is None or body <= memory:
        return []
    sizes = f"{body / MEBIBYTE:.1f} MiB, and a host has {memory / MEBIBYTE:.1f} MiB of memory"
    return [_report("body-over-memory", f"a body may have {sizes}")]


@CONFIGURATION_CHECKS.register("version")
def find_old_version(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return a finding if hosts ignore the configuration because of its version.

    :param subject: the configuration.
    """
    version = subject.configuration.version
    in_force = subject.in_force.version if subject.in_force else 0
    if version > in_force:
        return []
    message = f"hosts ignore version {version}; accepted: more than {in_force}, which is in force"
    return [Finding(check="version", subject="version", message=message, severity=Severity.ERROR)]


def _report(check: str, message: str) -> Finding:
    return Finding(check=check, subject="limits", message=message)
