"""State of a member of the deployment."""

import enum


class MemberState(enum.Enum):
    """State of a host as seen by this process.

    ``UNREACHABLE`` is never sent. This process reports it to its other components for a seed about
    which no update has arrived yet and for a host whose failure domain is unreachable.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    UNREACHABLE = 3
