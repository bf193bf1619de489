"""Place of a stream's copy, from which another engine resumes the stream."""

import attrs

from gypsumpost_core.gateway.endpoint_record import EndpointRecord


@attrs.frozen(kw_only=True)
class CopySource:
    """A copy of a stream's KV cache.

    :param holder: the engine that holds the copy, as it was when it received the copy.
    :param address: ``ip:port`` of the engine that has issued the handle.
    :param handle: name of the copy at that engine.
    """

    holder: EndpointRecord
    address: str
    handle: str
