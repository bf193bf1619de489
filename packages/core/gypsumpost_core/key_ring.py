"""The deployment's shared key and the one before it."""

import attrs


@attrs.define(kw_only=True, repr=False)
class KeyRing:
    """Accepts the former key for a while after a change.

    Hosts get a new key one after another. Each signs with the former key in the first half of the
    time in which it accepts both, so hosts that are changed within that half always agree.

    :param current: the key in force.
    """

    current: bytes
    _former: bytes = attrs.field(default=b"", init=False)
    _sign_former_until: float = attrs.field(default=0.0, init=False)
    _accept_former_until: float = attrs.field(default=0.0, init=False)

    def replace(self, key: bytes, now: float, deadline: float) -> None:
        """Put another key in force.

        :param key: the new key.
        :param now: process time in seconds.
        :param deadline: process time in seconds until which the present key is accepted too.
        """
        if key == self.current:
            return
        self._former, self.current = self.current, key
        self._sign_former_until = (now + deadline) / 2
        self._accept_former_until = deadline

    def list_accepted(self, now: float) -> list[bytes]:
        """Return the keys that prove membership of the deployment.

        :param now: process time in seconds.
        """
        if now < self._accept_former_until:
            return [self.current, self._former]
        return [self.current]

    def choose_signing(self, now: float) -> bytes:
        """Return the key that all hosts of the deployment know.

        :param now: process time in seconds.
        """
        return self._former if now < self._sign_former_until else self.current


def create_key_ring(key: bytes | KeyRing) -> KeyRing:
    """Return a key ring for a key.

    :param key: a key that never changes, or a key ring.
    """
    return key if isinstance(key, KeyRing) else KeyRing(current=key)
