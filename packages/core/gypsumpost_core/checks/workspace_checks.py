"""Checks of the workspaces of a configuration."""

from gypsumpost_core.checks.configuration_check import CONFIGURATION_CHECKS, ConfigurationSubject
from gypsumpost_core.checks.finding import Finding
from gypsumpost_core.checks.key_difference import DIGEST_CHARACTERS
from gypsumpost_core.checks.repeated_names import find_repeated
from gypsumpost_core.lists.workspace_plan import compute_key_digest


@CONFIGURATION_CHECKS.register("repeated-key")
def find_repeated_keys(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the keys that several workspaces hold, or one of them twice.

    :param subject: the configuration.
    """
    owners: dict[str, str] = {}
    findings = []
    for workspace in subject.configuration.workspaces or ():
        for key in workspace.keys:
            if key in owners:
                message = f"{_name_key(key)} already belongs to workspace {owners[key]}"
                findings.append(_report("repeated-key", workspace.name, message))
            owners[key] = workspace.name
    return findings


@CONFIGURATION_CHECKS.register("workspace-without-keys")
def find_workspaces_without_keys(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the workspaces that no request can belong to.

    :param subject: the configuration.
    """
    return [
        _report("workspace-without-keys", workspace.name, "no request belongs to it: it has no key")
        for workspace in subject.configuration.workspaces or ()
        if not any(workspace.keys)
    ]


@CONFIGURATION_CHECKS.register("repeated-workspace")
def find_repeated_workspaces(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the names that several workspaces have.

    :param subject: the configuration.
    """
    workspaces = subject.configuration.workspaces or ()
    return find_repeated("repeated-workspace", "workspace", workspaces)


def _name_key(key: str) -> str:
    return f"the key {compute_key_digest(key)[:DIGEST_CHARACTERS]}…"


def _report(check: str, name: str, message: str) -> Finding:
    return Finding(check=check, subject=f"workspace {name}", message=message)
