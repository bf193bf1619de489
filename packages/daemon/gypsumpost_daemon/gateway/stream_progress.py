"""How far a stream has come."""

import attrs

from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.stream_use import StreamUse


@attrs.define(kw_only=True)
class StreamProgress:
    """What has to be known to go on at another engine.

    :param last_event_id: id of the last event that the caller has, empty for none.
    :param use: what the stream takes of its engines.
    :param copy: the engine that holds the copy, ``None`` for none.
    :param sends: requests sent to engines so far.
    :param may_have_run: true if an engine may have begun to run the request.
    :param events: events that the caller has.
    :param lost_at: process time of the loss that is being recovered, ``None`` if there is none.
    """

    last_event_id: bytes
    use: StreamUse
    copy: EndpointRecord | None = None
    sends: int = 0
    may_have_run: bool = False
    events: int = 0
    lost_at: float | None = None
