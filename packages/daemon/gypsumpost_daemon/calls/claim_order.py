"""An order to change a stored claim."""

import attrs

from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind


@attrs.frozen(kw_only=True)
class ClaimOrder:
    """A compare-and-swap on one key; repeating it is safe, as values carry a nonce.

    :param kind: the change.
    :param key: key in the store.
    :param expected: value that must be stored, for ``REPLACE`` and ``REMOVE``.
    :param value: value to write, for ``CREATE`` and ``REPLACE``.
    """

    kind: ClaimOrderKind
    key: bytes
    expected: bytes = b""
    value: bytes = b""

    def count_bytes(self) -> int:
        """Return the size of the order in a transaction."""
        return len(self.key) + len(self.expected) + len(self.value)
