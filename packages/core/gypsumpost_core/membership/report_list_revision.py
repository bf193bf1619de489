"""Decision to report a newer revision of the operators' lists."""

import attrs


@attrs.frozen(kw_only=True)
class ReportListRevision:
    """Report to other components that a peer uses a newer revision than this daemon.

    :param host_id: the peer.
    :param revision: the revision.
    """

    host_id: str
    revision: int
