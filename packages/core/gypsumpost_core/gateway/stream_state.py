"""What a host says of one of its streams."""

import attrs


@attrs.frozen(kw_only=True)
class StreamState:
    """State of a stream at the host that was asked.

    :param served: true if the host serves it.
    :param over: true if no caller comes back for it: it is complete, or passed on no event.
    :param last_event_id: id of the last event that was passed on, empty if not known.
    :param sole: true if the host would know of another stream whose caller may send an equal
        request, and knows of none.
    """

    served: bool
    over: bool = False
    last_event_id: bytes = b""
    sole: bool = False
