"""A difference from the version in force."""

import attrs


@attrs.frozen(kw_only=True)
class Difference:
    """A change of one entry and its effect.

    :param subject: the entry, for example ``route lookup``.
    :param change: what differs.
    :param effect: what the hosts do differently.
    """

    subject: str
    change: str
    effect: str
