"""Builds a command line from a settings class."""

import inspect
from collections.abc import Callable
from typing import Any

import attrs

from gypsumpost_core.settings.settings_reader import get_variable_name


def build_command(
    settings_class: type, name: str, summary: str, run: Callable[[dict[str, str | None]], Any]
) -> Callable[..., Any]:
    """Return a function for defopt whose signature and docstring list every setting.

    :param settings_class: attrs class whose fields come from ``define_setting``.
    :param name: name of the command.
    :param summary: one sentence that describes the command.
    :param run: called with the text of each flag, ``None`` for a flag that is not set.
    """

    def command(**flags: str | None) -> Any:
        return run(flags)

    fields = attrs.fields(settings_class)
    command.__name__ = name
    # defopt reads the types from the annotations, not from the signature.
    command.__annotations__ = {field.name: str | None for field in fields}
    command.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
        [
            inspect.Parameter(
                field.name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=str | None,
            )
            for field in fields
        ]
    )
    command.__doc__ = "\n".join([summary, "", *map(_describe_field, fields)])
    return command


def _describe_field(field: "attrs.Attribute[Any]") -> str:
    setting = field.metadata["setting"]
    unit = f" Unit: {setting.unit}." if setting.unit else ""
    default = field.metadata["default"] or "empty"
    return (
        f":param {field.name}: {setting.help} Variable: {get_variable_name(field.name)}. "
        f"Default: {default}.{unit} Accepted: {setting.accepted}."
    )
