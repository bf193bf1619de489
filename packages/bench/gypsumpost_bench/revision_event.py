"""A revision of the lists that a daemon reported as in force."""

import attrs


@attrs.frozen(kw_only=True)
class RevisionEvent:
    """One report.

    :param host_id: the daemon.
    :param incarnation: number of its start.
    :param revision: the revision.
    """

    host_id: str
    incarnation: int
    revision: int
