"""Description of one setting."""

from collections.abc import Callable
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Setting:
    """Metadata of a setting: its parser, help text and accepted values.

    :param unit: unit of the value, for example ``seconds``; empty if it has none.
    :param help: one sentence on what the setting does.
    :param accepted: description of the accepted values, used in error messages.
    :param parse: turns the text of a flag or environment variable into the value and raises
        ``ValueError`` or ``KeyError`` for a text that is not accepted.
    :param secret: true if messages must not show the value.
    """

    unit: str
    help: str
    accepted: str
    parse: Callable[[str], Any]
    secret: bool = False


def define_setting(
    *,
    default: Any = attrs.NOTHING,
    help: str,
    accepted: str,
    parse: Callable[[str], Any] = str,
    unit: str = "",
    secret: bool = False,
) -> Any:
    """Define a field of a settings class.

    :param default: default value in the form used on the command line; without a default the
        setting is required.
    :param help: see :class:`Setting`.
    :param accepted: see :class:`Setting`.
    :param parse: see :class:`Setting`.
    :param unit: see :class:`Setting`.
    :param secret: see :class:`Setting`.
    """
    setting = Setting(unit=unit, help=help, accepted=accepted, parse=parse, secret=secret)
    value = default if default is attrs.NOTHING else parse(default)
    return attrs.field(default=value, metadata={"setting": setting, "default": default})
