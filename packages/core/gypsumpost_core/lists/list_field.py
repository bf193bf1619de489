"""Schema of list entries: their fields and the accepted values."""

import re
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.settings.setting_parsers import NAME_PATTERN

DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_RATE = 1e9
MAX_CONCURRENT = 1_000_000
MAX_PRIORITY = 100
MAX_DEADLINE_SECONDS = 86_400
NAME_TEXT = "letters, digits and hyphens, at most 63"


@attrs.frozen(kw_only=True)
class ListField:
    """One field of an entry.

    :param accepted: description of the accepted values.
    :param accepts: returns whether a TOML value is accepted.
    :param required: true if every entry must have the field.
    """

    accepted: str
    accepts: Callable[[Any], bool]
    required: bool = True


def is_name(value: object) -> bool:
    """Return whether a value is a valid entry name.

    :param value: a TOML value.
    """
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None


def _is_whole(low: int, high: int) -> Callable[[Any], bool]:
    return lambda value: type(value) is int and low <= value <= high


def _is_positive(high: float) -> Callable[[Any], bool]:
    return lambda value: type(value) in (int, float) and 0 < value <= high


def _is_array(accepts: Callable[[Any], bool]) -> Callable[[Any], bool]:
    return lambda value: isinstance(value, list) and all(map(accepts, value))


def _is_text(value: object) -> bool:
    # Names of models and services are chosen by the engines and may contain any printable
    # characters.
    return isinstance(value, str) and 0 < len(value) <= 200 and value.isprintable()


def _is_digest(value: object) -> bool:
    return isinstance(value, str) and DIGEST_PATTERN.fullmatch(value) is not None


_NAMES = ListField(accepted="an array of names", accepts=_is_array(_is_text), required=False)
_RATE = ListField(accepted="a number above 0, at most 1e9", accepts=_is_positive(MAX_RATE))

FIELDS: Mapping[ListKind, Mapping[str, ListField]] = {
    ListKind.PLANS: {
        "plan": ListField(accepted=f"name of an allowance: {NAME_TEXT}", accepts=is_name),
        "keys": ListField(
            accepted="an array of SHA-256 digests of 64 lower-case hexadecimal digits",
            accepts=_is_array(_is_digest),
            required=False,
        ),
    },
    ListKind.ALLOWANCES: {
        "models": _NAMES,
        "services": _NAMES,
        "requests_per_second": _RATE,
        "tokens_per_second": _RATE,
        "concurrent_generations": ListField(
            accepted=f"a whole number from 1 to {MAX_CONCURRENT}",
            accepts=_is_whole(1, MAX_CONCURRENT),
        ),
        "priority": ListField(
            accepted=f"a whole number from 0 to {MAX_PRIORITY}",
            accepts=_is_whole(0, MAX_PRIORITY),
            required=False,
        ),
        "deadline_seconds": ListField(
            accepted=f"a number above 0, at most {MAX_DEADLINE_SECONDS}",
            accepts=_is_positive(MAX_DEADLINE_SECONDS),
        ),
    },
}
