"""A copy of a generation that another daemon owns."""

import attrs

from gypsumpost_core.generations.generation_record import GenerationRecord


@attrs.define(kw_only=True, eq=False)
class HeldCopy:
    """State that is held for another daemon.

    :param record: the copied state.
    :param owner: host id of the current owner.
    :param size: estimated bytes of the state.
    :param handed_over: true once the owner got the state from here; the state is then out of date.
    """

    record: GenerationRecord
    owner: str
    size: int
    handed_over: bool = False
