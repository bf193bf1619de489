"""A stream's copy that a peer has reported."""

import attrs

from gypsumpost_core.gateway.copy_report import CopyReport


@attrs.frozen(kw_only=True)
class PeerCopy:
    """The copy of a stream of a peer.

    :param host_id: the peer.
    :param report: its report.
    :param reported_at: monotonic time in seconds of its last report.
    """

    host_id: str
    report: CopyReport
    reported_at: float
