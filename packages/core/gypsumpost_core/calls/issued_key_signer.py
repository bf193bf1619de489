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
        """Return the text of a key for the caller.

        :param key: the key.
        :param workspace: workspace that may use it.
        :param service: service that it is for.
        """
        return key.format_claims() + SEPARATOR + self._sign(key, workspace, service)

    def read_key(self, text: str, workspace: str, service: str) -> IssuedKey | None:
        """Return the key of a text, or ``None`` if the deployment did not issue it for this use.

        :param text: the text that the caller sent.
        :param workspace: the caller's workspace.
        :param service: the service that is called.
        """
        parsed = parse_issued_key(text)
        if parsed is None:
            return None
        key, signature = parsed
        expected = self._sign(key, workspace, service)
        return key if hmac.compare_digest(signature.encode(), expected.encode()) else None

    def _sign(self, key: IssuedKey, workspace: str, service: str) -> str:
        # Lengths keep two pairs of names from having the same signed text.
        names = f"{len(workspace)}:{workspace}{len(service)}:{service}"
        message = PURPOSE + f"{names}\0{key.format_claims()}".encode()
        return hmac.new(self._secret, message, hashlib.sha256).hexdigest()[:SIGNATURE_DIGITS]
