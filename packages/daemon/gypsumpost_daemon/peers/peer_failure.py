"""Failure of a request to another daemon."""

import attrs


@attrs.frozen(kw_only=True)
class PeerFailure:
    """Reason why a request to a peer got no reply.

    :param host_id: the peer.
    :param reason: a short description.
    :param sent: true if the request may have reached the peer.
    :param refused: true if the peer's address refuses connections, so that no process listens.
    """

    host_id: str
    reason: str
    sent: bool
    refused: bool = False
