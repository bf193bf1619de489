"""A copy of another daemon's generation."""

import attrs

from gypsumpost_core.generations.generation_record import GenerationRecord


@attrs.define(kw_only=True, eq=False)
class HeldCopy:
    """Copied state of a generation and its owner.

    :param record: the copied state.
    :param owner: host id of the current owner.
    :param size: estimated size of the state in bytes.
    :param handed_over: true after the state was handed over to the owner; it is then out of date.
    """

    record: GenerationRecord
    owner: str
    size: int
    handed_over: bool = False
