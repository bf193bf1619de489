"""Evidence that a failure domain is reachable."""

import attrs


@attrs.frozen(kw_only=True)
class DomainBeat:
    """Highest hybrid clock received directly from a failure domain.

    Hosts of one domain advance each other's hybrid clocks, so the value increases while
    datagrams of any of them arrive, regardless of their wall clocks.

    :param failure_domain: name of the domain.
    :param clock: hybrid clock of a host of that domain.
    """

    failure_domain: str
    clock: int
