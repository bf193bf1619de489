"""The deployment's shared key and its predecessor."""

import attrs


@attrs.define(kw_only=True, repr=False)
class KeyRing:
    """Accepts the former key for an overlap period after a change.

    The key is replaced on one host after another. During the first half of the overlap period a
    host still signs with the former key, so hosts that are updated within that half of each other
    can always verify each other.

    :param current: the current key.
    """

    current: bytes
    _former: bytes = attrs.field(default=b"", init=False)
    _sign_former_until: float = attrs.field(default=0.0, init=False)
    _accept_former_until: float = attrs.field(default=0.0, init=False)

    def replace(self, key: bytes, now: float, deadline: float) -> None:
        """Replace the current key.

        :param key: the new key.
        :param now: monotonic time in seconds.
        :param deadline: monotonic time in seconds until which the former key is accepted too.
        """
        if key == self.current:
            return
        self._former, self.current = self.current, key
        self._sign_former_until = (now + deadline) / 2
        self._accept_former_until = deadline

    def list_accepted_keys(self, now: float) -> list[bytes]:
        """Return the keys accepted from peers, the current one first.

        :param now: monotonic time in seconds.
        """
        if now < self._accept_former_until:
            return [self.current, self._former]
        return [self.current]

    def choose_signing_key(self, now: float) -> bytes:
        """Return the key to sign with, which all hosts accept while the key is replaced.

        This is the former key in the first half of the overlap period.

        :param now: monotonic time in seconds.
        """
        return self._former if now < self._sign_former_until else self.current


def create_key_ring(key: bytes | KeyRing) -> KeyRing:
    """Return a key ring for a key; a key ring is returned unchanged.

    :param key: a key that never changes, or a key ring.
    """
    return key if isinstance(key, KeyRing) else KeyRing(current=key)
