"""Keys for non-idempotent calls that a daemon issues itself."""

from __future__ import annotations

import attrs

PREFIX = "gk1"
SEPARATOR = "."


@attrs.frozen(kw_only=True)
class IssuedKey:
    """A key that only one incarnation of one daemon may run.

    :param issuer: host id of the daemon.
    :param incarnation: incarnation of the daemon.
    :param deadline: Unix time in whole seconds after which the key is not run.
    :param serial: number of the key within the incarnation.
    """

    issuer: str
    incarnation: int
    deadline: int
    serial: int

    def format_claims(self) -> str:
        """Return the part of the key's text that the signature covers."""
        parts = (PREFIX, self.issuer, self.incarnation, self.deadline, self.serial)
        return SEPARATOR.join(str(part) for part in parts)


def parse_issued_key(text: str) -> tuple[IssuedKey, str] | None:
    """Split the text of an issued key into its claims and its signature.

    :param text: the text; ``None`` is returned if it does not have the form of an issued key.
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
