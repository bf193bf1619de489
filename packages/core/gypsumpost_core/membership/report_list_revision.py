"""Decision to report a newer revision of the operators' lists."""

import attrs


@attrs.frozen(kw_only=True)
class ReportListRevision:
    """Tell the other parts that a peer uses a newer revision than this daemon.

    :param host_id: a host that has it.
    :param revision: the revision.
    """

    host_id: str
    revision: int
