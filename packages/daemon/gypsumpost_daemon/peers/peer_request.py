"""A request that arrived from another daemon."""

import attrs


@attrs.frozen(kw_only=True)
class PeerRequest:
    """A message for a handler.

    :param host_id: the daemon that sent it, as proved by the handshake.
    :param payload: the encoded message.
    """

    host_id: str
    payload: bytes
