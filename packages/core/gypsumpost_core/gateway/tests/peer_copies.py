"""Copies of streams of peers, as a take-over finds them."""

from gypsumpost_core.gateway.copy_directory import CopyDirectory
from gypsumpost_core.gateway.known_stream import KnownStream


def list_peer_copies(directory: CopyDirectory, fingerprint: bytes, now: float) -> list[KnownStream]:
    """Return the streams of peers with equal requests whose copies can still be used.

    :param directory: the streams that a host knows.
    :param fingerprint: digest of the request.
    :param now: monotonic time in seconds.
    """
    return [
        stream
        for stream in directory.list_known(fingerprint, now)
        if stream.host_id != directory.own_id and directory.has_copy(stream, now)
    ]
