"""Entry of the directory of idempotency keys."""

import attrs


@attrs.frozen(kw_only=True)
class IdempotencyKeyEntry:
    """Assignment of an idempotency key to a generation.

    :param workspace: workspace whose caller chose the key.
    :param key: the key.
    :param digest: digest of the request's body.
    :param generation_id: the generation.
    :param home: host that owns the generation.
    :param copy: host that holds a copy, ``-`` for none.
    :param created_at: Unix time in seconds of the request.
    :param keep_until: Unix time in seconds at which the entry expires.
    """

    workspace: str
    key: str
    digest: str
    generation_id: str
    home: str
    copy: str
    created_at: float
    keep_until: float
