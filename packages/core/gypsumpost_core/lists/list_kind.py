"""The two lists that operators edit."""

import enum


class ListKind(enum.Enum):
    """Which list an entry belongs to; the value is the name in files, keys and addresses."""

    PLANS = "plans"
    ALLOWANCES = "allowances"
