"""Checks a configuration of the gateway, as its adapter reads it."""

import importlib
import os
from typing import Protocol

from result import Err, Ok, Result

from gypsumpost_cli.check_forms import CHECK_FORMS
from gypsumpost_cli.checked_files import CheckedFiles
from gypsumpost_core.checks import limit_checks, route_checks, service_checks, workspace_checks
from gypsumpost_core.checks.check_report import CheckReport
from gypsumpost_core.checks.configuration_check import ConfigurationSubject, check_configuration
from gypsumpost_core.checks.configuration_difference import compare_configurations
from gypsumpost_core.gateway.configuration import Configuration

CHECK_MODULES = (limit_checks, route_checks, service_checks, workspace_checks)
"""Modules that register checks when they are imported."""


class ConfigurationDecoder(Protocol):
    """The part of an adapter that decodes configurations."""

    def decode_configuration(self, value: bytes) -> Result[Configuration, str]:
        """Return the configuration in a document, or why it cannot be read."""
        ...


@CHECK_FORMS.register("configuration")
def check_configuration_file(*, files: CheckedFiles) -> Result[CheckReport, str]:
    """Return what the checks of a configuration find.

    :param files: the contents of the files.
    """
    loaded = load_decoder(files.adapter)
    if isinstance(loaded, Err):
        return loaded
    decoded = loaded.ok_value.decode_configuration(files.content)
    if isinstance(decoded, Err):
        return decoded
    configuration, in_force = decoded.ok_value, None
    if files.in_force is not None:
        former = loaded.ok_value.decode_configuration(files.in_force)
        if isinstance(former, Err):
            return Err(f"the version in force: {former.err_value}")
        in_force = former.ok_value
    subject = ConfigurationSubject(
        configuration=configuration, in_force=in_force, memory_bytes=files.memory_bytes
    )
    differences = compare_configurations(in_force, configuration) if in_force else ()
    return Ok(CheckReport(findings=check_configuration(subject), differences=differences))


def load_decoder(name: str) -> Result[ConfigurationDecoder, str]:
    """Return the adapter that the daemons use.

    :param name: its module.
    """
    if not name:
        return Err("the adapter is not known; set --adapter or GYPSUMPOST_ADAPTER to its module")
    try:
        return Ok(importlib.import_module(name).create_adapter(os.environ))
    except (ImportError, AttributeError, ValueError) as error:
        return Err(f"the adapter {name!r} cannot be loaded: {error}")
