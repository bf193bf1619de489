"""The two lists that operators edit."""

import enum


class ListKind(enum.Enum):
    """The list of an entry; the value is its name in files, store keys and URLs."""

    PLANS = "plans"
    ALLOWANCES = "allowances"
