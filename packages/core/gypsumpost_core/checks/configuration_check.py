"""Checks of a configuration of the gateway."""

import attrs

from gypsumpost_core.checks.finding import Finding
from gypsumpost_core.gateway.configuration import Configuration
from gypsumpost_core.registry import Registry


@attrs.frozen(kw_only=True)
class ConfigurationSubject:
    """The configuration to check and what it is checked against.

    :param configuration: the configuration.
    :param in_force: the version in force, ``None`` if it is not known.
    :param memory_bytes: memory of the smallest host, ``None`` if it is not known.
    """

    configuration: Configuration
    in_force: Configuration | None = None
    memory_bytes: int | None = None


CONFIGURATION_CHECKS: Registry[list[Finding]] = Registry(behaviour="check of a configuration")
"""Functions of a :class:`ConfigurationSubject` that return what they find."""


def check_configuration(subject: ConfigurationSubject) -> tuple[Finding, ...]:
    """Return what all registered checks find, in the order of their names.

    :param subject: the configuration.
    """
    return tuple(
        finding
        for name in CONFIGURATION_CHECKS.names()
        for finding in CONFIGURATION_CHECKS.create(name, subject=subject)
    )
