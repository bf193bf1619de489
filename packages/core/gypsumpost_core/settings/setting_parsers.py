"""Parsers of setting values; each raises ``ValueError`` for a text that it does not accept."""

import ipaddress
import math
import re
from collections.abc import Callable

MAX_LABEL_CHARACTERS = 200
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9-]{0,62}")


def parse_name(text: str) -> str:
    """Parse a name of letters, digits and hyphens.

    :param text: the value as text.
    """
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def parse_label(text: str) -> str:
    """Parse a name assigned by another system: any characters, at most ``MAX_LABEL_CHARACTERS``.

    :param text: the value as text.
    """
    if not text or len(text) > MAX_LABEL_CHARACTERS:
        raise ValueError(text)
    return text


def parse_ips(text: str) -> tuple[str, ...]:
    """Parse comma-separated IP addresses; the empty string gives none.

    :param text: the value as text.
    """
    return tuple(str(ipaddress.ip_address(part)) for part in text.split(",") if part)


def parse_address(text: str) -> str:
    """Parse ``ip:port``, with an IPv6 address in brackets.

    :param text: the value as text.
    """
    ip, _, port = text.rpartition(":")
    ipaddress.ip_address(ip.strip("[]"))
    if not 0 <= int(port) <= 65535:
        raise ValueError(text)
    return text


def parse_optional_address(text: str) -> str:
    """Parse ``ip:port`` or the empty string.

    :param text: the value as text.
    """
    return parse_address(text) if text else text


def parse_number(minimum: float, maximum: float = math.inf) -> Callable[[str], float]:
    """Return a parser of numbers within bounds.

    :param minimum: lowest accepted value.
    :param maximum: highest accepted value.
    """

    def parse(text: str) -> float:
        value = float(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


def parse_optional(parse: Callable[[str], float]) -> Callable[[str], float | None]:
    """Return a parser that also accepts the empty string, for no value.

    :param parse: parser of the other values.
    """
    return lambda text: parse(text) if text else None


def parse_integer(minimum: int, maximum: int) -> Callable[[str], int]:
    """Return a parser of whole numbers within bounds.

    :param minimum: lowest accepted value.
    :param maximum: highest accepted value.
    """

    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


def parse_choice(names: tuple[str, ...]) -> Callable[[str], str]:
    """Return a parser that accepts one of the given names.

    :param names: accepted names.
    """

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(text)
        return text

    return parse


def parse_boolean(text: str) -> bool:
    """Parse ``true`` or ``false``.

    :param text: the value as text.
    """
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"
