"""A daemon's report of its demand for one workspace."""

import attrs

from gypsumpost_core.limits.share_amounts import ShareAmounts


@attrs.frozen(kw_only=True)
class DemandReport:
    """What a daemon holds and wants.

    :param workspace: the workspace.
    :param held_number: number of the report whose grant the daemon holds, 0 for none; it adopts
        no grant of an earlier report any more.
    :param held: what it holds of that grant, possibly less than was granted.
    :param demand: what it could use.
    """

    workspace: str
    held_number: int
    held: ShareAmounts
    demand: ShareAmounts
