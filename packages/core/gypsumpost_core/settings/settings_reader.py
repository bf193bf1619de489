"""Reads a settings class from flags and environment variables."""

from collections.abc import Mapping
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from gypsumpost_core.settings.setting import Setting

ENVIRONMENT_PREFIX = "GYPSUMPOST_"

S = TypeVar("S")


def get_flag_name(field_name: str) -> str:
    """Return the command-line flag of a settings field.

    :param field_name: name of the field.
    """
    return "--" + field_name.replace("_", "-")


def get_variable_name(field_name: str) -> str:
    """Return the environment variable of a settings field.

    :param field_name: name of the field.
    """
    return ENVIRONMENT_PREFIX + field_name.upper()


def read_settings(
    settings_class: type[S], flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Result[S, list[str]]:
    """Build settings; a flag takes precedence over its environment variable, both over the default.

    :param settings_class: attrs class whose fields come from ``define_setting``.
    :param flags: text of the flag by field name, ``None`` for a flag that is not set.
    :param environment: the process's environment variables.
    :returns: the settings, or an error message for each invalid or missing setting.
    """
    names = [field.name for field in attrs.fields(settings_class)]  # type: ignore[arg-type]
    return parse_settings(
        settings_class, {name: _find_text(name, flags, environment) for name in names}
    )


def parse_settings(
    settings_class: type[S], texts: Mapping[str, tuple[str | None, str]]
) -> Result[S, list[str]]:
    """Build settings from the texts of their values.

    :param settings_class: attrs class whose fields come from ``define_setting``.
    :param texts: text (``None`` for the default) and source of each field, by field name.
    :returns: the settings, or an error message for each invalid or missing setting.
    """
    values: dict[str, Any] = {}
    errors: list[str] = []
    for field in attrs.fields(settings_class):  # type: ignore[arg-type]
        text, source = texts.get(field.name, (None, field.name))
        setting: Setting = field.metadata["setting"]
        if text is None:
            if field.default is attrs.NOTHING:
                errors.append(f"{source}: is missing; accepted: {setting.accepted}")
            continue
        try:
            values[field.name] = setting.parse(text)
        except (ValueError, KeyError):
            value = "the value" if setting.secret else repr(text)
            errors.append(f"{source}: {value} is not accepted; accepted: {setting.accepted}")
    return Err(errors) if errors else Ok(settings_class(**values))


def _find_text(
    name: str, flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> tuple[str | None, str]:
    if flags.get(name) is not None:
        return flags[name], get_flag_name(name)
    return environment.get(get_variable_name(name)), get_variable_name(name)
