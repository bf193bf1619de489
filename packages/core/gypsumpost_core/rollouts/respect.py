"""A respect in which answers of a version can be bad."""

from collections.abc import Callable

import attrs

from gypsumpost_core.rollouts.bad_count import BadCount
from gypsumpost_core.rollouts.version_count import VersionCount


@attrs.frozen(kw_only=True)
class Respect:
    """A respect in which answers of a version can be bad.

    :param name: what the bad answers are, for operators.
    :param count: counts answers and bad ones.
    :param tolerated: part of the answers by which a version may be worse than the others.
    """

    name: str
    count: Callable[[VersionCount], BadCount]
    tolerated: float
