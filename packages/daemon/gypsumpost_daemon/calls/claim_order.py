"""A write to a stored claim."""

import attrs

from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind


@attrs.frozen(kw_only=True)
class ClaimOrder:
    """A compare-and-swap on one key; it can be retried safely, as values contain a nonce.

    :param kind: the type of change.
    :param key: key in the store.
    :param expected: required current value, for ``REPLACE`` and ``REMOVE``.
    :param value: value to write, for ``CREATE`` and ``REPLACE``.
    """

    kind: ClaimOrderKind
    key: bytes
    expected: bytes = b""
    value: bytes = b""

    def count_bytes(self) -> int:
        """Return the size of key and values in bytes."""
        return len(self.key) + len(self.expected) + len(self.value)
