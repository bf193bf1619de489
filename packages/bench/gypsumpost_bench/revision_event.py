"""A revision of the lists that a daemon reported as applied."""

import attrs


@attrs.frozen(kw_only=True)
class RevisionEvent:
    """One report of a daemon.

    :param host_id: the daemon.
    :param incarnation: number of the daemon's start, from 1.
    :param revision: revision that the daemon has applied.
    """

    host_id: str
    incarnation: int
    revision: int
