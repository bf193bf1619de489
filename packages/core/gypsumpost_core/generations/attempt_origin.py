"""Which attempt produced which part of an answer."""

import attrs


@attrs.frozen(kw_only=True)
class AttemptOrigin:
    """The part of an answer that begins with an attempt.

    :param name: name of the attempt, unique over all owners of the generation.
    :param base: output tokens before its first one.
    """

    name: str
    base: int
