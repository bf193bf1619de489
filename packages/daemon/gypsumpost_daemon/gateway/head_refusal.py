"""The refusal of a request that its head alone decides."""

import attrs


@attrs.frozen(kw_only=True)
class HeadRefusal:
    """An answer that needs no part of the body.

    :param status: status code.
    :param reason: one sentence for the caller.
    :param retry_after: seconds after which the caller may retry, 0 for no ``retry-after``.
    """

    status: int
    reason: str
    retry_after: float = 0.0
