"""Decoder of frames from a byte stream."""

from gypsumpost_daemon.peers.frame import HEADER, MAX_PAYLOAD_BYTES, Frame


class FrameDecoder:
    """Buffers received bytes and returns the complete frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> list[Frame]:
        """Add received bytes.

        :param data: bytes from the connection.
        :returns: the frames completed by these bytes.
        :raises ValueError: if a frame exceeds ``MAX_PAYLOAD_BYTES``.
        """
        self._buffer += data
        frames = []
        position = 0
        while len(self._buffer) - position >= HEADER.size:
            length, kind, correlation, clock = HEADER.unpack_from(self._buffer, position)
            if length > MAX_PAYLOAD_BYTES:
                raise ValueError(f"a frame of {length} bytes exceeds the maximum")
            end = position + HEADER.size + length
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[position + HEADER.size : end])
            frames.append(Frame(kind=kind, correlation=correlation, clock=clock, payload=payload))
            position = end
        del self._buffer[:position]
        return frames
