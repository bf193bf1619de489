"""A question to a peer about one of its streams."""

import attrs


@attrs.frozen(kw_only=True)
class StreamQuery:
    """Asks for the state of a stream.

    :param fingerprint: digest of the request.
    :param request_id: id of the stream at the engines.
    :param incarnation: process of the peer that has reported the stream.
    """

    fingerprint: bytes
    request_id: str
    incarnation: int = 0
