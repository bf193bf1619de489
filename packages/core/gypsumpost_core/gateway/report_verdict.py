"""What a host does about an endpoint that a peer reports as lost or returned."""

import enum


class ReportVerdict(enum.Enum):
    """``PROBE`` to check the endpoint, ``ADOPT`` to take over the report, ``WAIT`` for others."""

    PROBE = "probe"
    ADOPT = "adopt"
    WAIT = "wait"
