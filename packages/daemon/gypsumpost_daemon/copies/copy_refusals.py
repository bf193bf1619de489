"""The generations of a batch that a holder rejected."""

import attrs


@attrs.define(kw_only=True)
class CopyRefusals:
    """Ids of the rejected generations of a batch, by reason.

    :param stale: another daemon has taken the generation over.
    :param missing: the holder needs the whole record.
    :param refused: the holder has no memory left.
    """

    stale: list[str] = attrs.field(factory=list)
    missing: list[str] = attrs.field(factory=list)
    refused: list[str] = attrs.field(factory=list)
