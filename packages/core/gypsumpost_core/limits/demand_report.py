"""A daemon's report of its demand for one workspace."""

import attrs

from gypsumpost_core.limits.share_amounts import ShareAmounts


@attrs.frozen(kw_only=True)
class DemandReport:
    """The share that a daemon holds and its demand.

    :param workspace: the workspace.
    :param held_number: number of the report whose grant the daemon holds, 0 for none; the daemon
        ignores grants for earlier reports.
    :param held: the part of that grant that it still holds; it may have returned some of it.
    :param demand: the amounts that it could use.
    """

    workspace: str
    held_number: int
    held: ShareAmounts
    demand: ShareAmounts
