"""A question to a peer about one of its streams."""

import attrs


@attrs.frozen(kw_only=True)
class StreamQuery:
    """Asks whether the peer serves a stream.

    :param fingerprint: digest of the request.
    :param request_id: id of the stream at the engines.
    """

    fingerprint: bytes
    request_id: str
