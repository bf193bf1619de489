"""Evidence that a failure domain can be reached."""

import attrs


@attrs.frozen(kw_only=True)
class DomainBeat:
    """The highest hybrid clock that came directly from a failure domain.

    Hosts of one domain advance each other's hybrid clocks, so the value grows as long as any of
    them is heard, whatever their wall clocks say.

    :param failure_domain: name of the domain.
    :param clock: hybrid clock of a host of that domain.
    """

    failure_domain: str
    clock: int
