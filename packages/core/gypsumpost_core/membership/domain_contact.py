"""Reachability of another failure domain."""

import attrs

from gypsumpost_core.membership.table_comparison import TableComparison


@attrs.define(kw_only=True)
class DomainContact:
    """Reachability of a failure domain and the comparison of the tables of its hosts.

    :param silence_deadline: time at which the domain is declared unreachable without new evidence.
    :param silent: true while it is declared unreachable.
    :param comparison: comparison of this process's table of the domain's hosts with theirs.
    """

    silence_deadline: float
    silent: bool = False
    comparison: TableComparison = attrs.field(factory=TableComparison)
