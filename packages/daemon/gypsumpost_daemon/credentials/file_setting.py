"""Settings that name a file."""

from typing import Any

from gypsumpost_core.settings.setting import define_setting


def define_file(*, accepted: str, help: str) -> Any:
    """Define a settings field with the path of a readable file, empty for none.

    :param accepted: see :class:`~gypsumpost_core.settings.setting.Setting`.
    :param help: see :class:`~gypsumpost_core.settings.setting.Setting`.
    """
    return define_setting(default="", parse=parse_optional_file, accepted=accepted, help=help)


def parse_optional_file(text: str) -> str:
    """Parse the path of a readable file or the empty string.

    :param text: the value as text.
    """
    if text:
        try:
            with open(text, "rb") as file:
                file.read(1)
        except OSError as error:
            raise ValueError(text) from error
    return text
