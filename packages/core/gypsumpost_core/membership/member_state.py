"""State of a member of the deployment."""

import enum


class MemberState(enum.Enum):
    """What this process holds a host for.

    ``UNREACHABLE`` is never sent: it is this process's own report about a host that it has not
    heard of yet, or whose failure domain is silent.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    UNREACHABLE = 3
