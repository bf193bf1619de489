"""The attempt that produced a range of an answer's tokens."""

import attrs


@attrs.frozen(kw_only=True)
class AttemptOrigin:
    """Start of the range of an answer that one attempt produced.

    :param name: name of the attempt, unique across all owners of the generation.
    :param base: number of output tokens before the attempt's first token.
    """

    name: str
    base: int
