"""Reachability of another failure domain."""

import attrs

from gypsumpost_core.membership.table_comparison import TableComparison


@attrs.define(kw_only=True)
class DomainContact:
    """Reachability of a failure domain and the comparison of the tables of its hosts.

    :param unreachable_deadline: monotonic time in seconds at which the domain is declared
        unreachable if no evidence arrives.
    :param unreachable: true while it is declared unreachable.
    :param comparison: comparison of this process's table of the domain's hosts with theirs.
    """

    unreachable_deadline: float
    unreachable: bool = False
    comparison: TableComparison = attrs.field(factory=TableComparison)
