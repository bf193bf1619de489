"""Signs and verifies issued keys."""

import hashlib
import hmac

from gypsumpost_core.calls.issued_key import SEPARATOR, IssuedKey, parse_issued_key

PURPOSE = b"gypsumpost issued key\0"
SIGNATURE_DIGITS = 32
"""128 bits of the HMAC, in hexadecimal digits."""


class IssuedKeySigner:
    """Binds a key to its workspace and service with the deployment's shared key.

    :param secret: the deployment's shared key.
    """

    def __init__(self, *, secret: bytes) -> None:
        self._secret = secret

    def format_key(self, key: IssuedKey, workspace: str, service: str) -> str:
        """Return the signed text form of a key.

        :param key: the key.
        :param workspace: workspace that may use it.
        :param service: service for which it is valid.
        """
        return key.format_signed_part() + SEPARATOR + self._sign(key, workspace, service)

    def read_key(self, text: str, workspace: str, service: str) -> IssuedKey | None:
        """Verify and return a key, ``None`` if it was not issued for this workspace and service.

        :param text: the key's text form, as sent by the caller.
        :param workspace: the caller's workspace.
        :param service: the called service.
        """
        parsed = parse_issued_key(text)
        if parsed is None:
            return None
        key, signature = parsed
        expected = self._sign(key, workspace, service)
        return key if hmac.compare_digest(signature.encode(), expected.encode()) else None

    def _sign(self, key: IssuedKey, workspace: str, service: str) -> str:
        # The lengths make the signed text unambiguous for every pair of names.
        names = f"{len(workspace)}:{workspace}{len(service)}:{service}"
        message = PURPOSE + f"{names}\0{key.format_signed_part()}".encode()
        return hmac.new(self._secret, message, hashlib.sha256).hexdigest()[:SIGNATURE_DIGITS]
