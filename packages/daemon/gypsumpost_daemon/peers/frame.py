"""Frame of a peer connection."""

import struct

import attrs

HEADER = struct.Struct("!IHQQ")
"""Length of the payload in bytes, message kind, correlation number, sender's clock."""

MAX_PAYLOAD_BYTES = 16 * 1024 * 1024


@attrs.frozen(kw_only=True)
class Frame:
    """One message on a peer connection.

    :param kind: a value of :class:`~gypsumpost_daemon.peers.message_kind.MessageKind`.
    :param correlation: number echoed in the reply; 0 if no reply is expected.
    :param clock: the sender's hybrid clock.
    :param payload: the encoded message.
    """

    kind: int
    correlation: int
    clock: int
    payload: bytes

    def encode(self) -> bytes:
        """Return the frame as bytes."""
        header = HEADER.pack(len(self.payload), self.kind, self.correlation, self.clock)
        return header + self.payload
