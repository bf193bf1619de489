"""Contact with another failure domain."""

import attrs

from gypsumpost_core.membership.table_comparison import TableComparison


@attrs.define(kw_only=True)
class DomainContact:
    """What is known about the connection to a domain.

    :param silence_deadline: time at which the domain counts as unreachable.
    :param silent: true while it counts as unreachable.
    :param comparison: comparison of what is known about its hosts.
    """

    silence_deadline: float
    silent: bool = False
    comparison: TableComparison = attrs.field(factory=TableComparison)
