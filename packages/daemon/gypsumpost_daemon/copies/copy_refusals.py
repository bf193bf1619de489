"""What a holder did not take in of a batch."""

import attrs


@attrs.define(kw_only=True)
class CopyRefusals:
    """Generations of a batch that a holder did not take in.

    :param stale: another daemon has taken them over.
    :param missing: the holder needs the whole record.
    :param refused: the holder has no memory left for them.
    """

    stale: list[str] = attrs.field(factory=list)
    missing: list[str] = attrs.field(factory=list)
    refused: list[str] = attrs.field(factory=list)
