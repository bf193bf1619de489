"""Bodies of requests, in pieces for a socket."""

from collections.abc import Iterator

PIECE_BYTES = 65536
LAST_CHUNK = b"0\r\n\r\n"


def split_body(size: int) -> Iterator[bytes]:
    """Return a body in pieces.

    :param size: its size in bytes.
    """
    for start in range(0, size, PIECE_BYTES):
        yield b"b" * min(PIECE_BYTES, size - start)


def split_chunks(body: bytes, chunk_bytes: int, piece_bytes: int = PIECE_BYTES) -> Iterator[bytes]:
    """Return a body in chunks without the last one, in pieces of many chunks.

    :param body: the body.
    :param chunk_bytes: content of a chunk in bytes.
    :param piece_bytes: most content of a piece in bytes, unless a chunk has more.
    """
    step = max(1, piece_bytes // chunk_bytes) * chunk_bytes
    for start in range(0, len(body), step):
        part = body[start : start + step]
        chunks = (part[at : at + chunk_bytes] for at in range(0, len(part), chunk_bytes))
        yield b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
