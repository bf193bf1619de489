"""Request received from another daemon."""

import attrs


@attrs.frozen(kw_only=True)
class PeerRequest:
    """Argument of a handler of peer requests.

    :param host_id: the sending daemon, as authenticated by the handshake.
    :param payload: the encoded message.
    """

    host_id: str
    payload: bytes
