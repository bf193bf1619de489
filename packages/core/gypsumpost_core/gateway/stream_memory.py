"""What a host remembers of streams whose callers may come back."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.gateway.begun_streams import MEMORY_SECONDS
from gypsumpost_core.gateway.known_stream import KnownStream

ROUNDING_SECONDS = 0.001
"""Hosts tell each other times in whole milliseconds."""


@attrs.frozen(kw_only=True)
class StreamMemory:
    """The memory of a host, or a part of it, as it tells a peer.

    :param complete_since: monotonic time in seconds from which on the host has heard of all
        streams.
    :param streams: the streams of the failure domain.
    :param begun_elsewhere: digests of the requests that have begun to stream in other domains, by
        domain.
    """

    complete_since: float
    streams: tuple[KnownStream, ...]
    begun_elsewhere: Mapping[str, tuple[bytes, ...]] = attrs.field(factory=dict)

    def is_complete(self, now: float) -> bool:
        """Return true if the host has heard of all streams whose callers may come back.

        :param now: monotonic time in seconds.
        """
        return now >= self.complete_since + MEMORY_SECONDS - ROUNDING_SECONDS
