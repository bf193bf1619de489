"""Idempotency keys that a daemon issues for non-idempotent calls."""

from __future__ import annotations

import attrs

PREFIX = "gk1"
SEPARATOR = "."


@attrs.frozen(kw_only=True)
class IssuedKey:
    """A key under which only the issuing incarnation of one daemon may run a call.

    :param issuer: host id of the daemon.
    :param incarnation: incarnation of the daemon.
    :param deadline: Unix time in whole seconds after which the key is not accepted.
    :param serial: number of the key within the incarnation.
    """

    issuer: str
    incarnation: int
    deadline: int
    serial: int

    def format_signed_part(self) -> str:
        """Return the signed part of the key's text form."""
        parts = (PREFIX, self.issuer, self.incarnation, self.deadline, self.serial)
        return SEPARATOR.join(str(part) for part in parts)


def parse_issued_key(text: str) -> tuple[IssuedKey, str] | None:
    """Split an issued key into its fields and its signature.

    :param text: the key's text form.
    :returns: the key and its unverified signature, ``None`` if the text is not an issued key.
    """
    parts = text.split(SEPARATOR)
    if len(parts) != 6 or parts[0] != PREFIX:
        return None
    if not all(part.isascii() and part.isdigit() for part in parts[2:5]):
        return None
    key = IssuedKey(
        issuer=parts[1],
        incarnation=int(parts[2]),
        deadline=int(parts[3]),
        serial=int(parts[4]),
    )
    return key, parts[5]
