"""Result of a holder's request for more memory."""

import attrs

from gypsumpost_core.memory.memory_holder import MemoryHolder


@attrs.frozen(kw_only=True)
class MemoryDecision:
    """Whether a holder may grow, and at whose expense.

    :param allowed: false if there is no room for the holder.
    :param released: holders to end now; their bytes are no longer counted.
    """

    allowed: bool
    released: tuple[MemoryHolder, ...] = ()


ALLOWED = MemoryDecision(allowed=True)
