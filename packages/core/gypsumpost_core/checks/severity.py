"""How a finding affects the hosts."""

import enum


class Severity(enum.Enum):
    """``ERROR`` if the hosts do not take the file, ``WARNING`` if they do."""

    ERROR = "error"
    WARNING = "warning"
