"""What a host remembers of streams whose callers may come back."""

import attrs

from gypsumpost_core.gateway.known_stream import KnownStream


@attrs.frozen(kw_only=True)
class StreamMemory:
    """The memory of a host, as it tells a peer that has just started.

    :param complete_since: monotonic time in seconds from which on the host has heard of all
        streams.
    :param streams: the streams of the failure domain.
    :param begun_elsewhere: digests of the requests that have begun to stream in other domains.
    """

    complete_since: float
    streams: tuple[KnownStream, ...]
    begun_elsewhere: tuple[bytes, ...]
