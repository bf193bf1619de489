"""The generation that an idempotency key belongs to."""

import attrs


@attrs.frozen(kw_only=True)
class KeyEntry:
    """An entry of the key directory.

    :param workspace: the workspace that chose the key.
    :param key: the key.
    :param digest: digest of the request's body.
    :param generation_id: the generation.
    :param home: host that owns it.
    :param copy: host that holds a copy, ``-`` for none.
    :param created_at: Unix time in seconds of the request.
    :param keep_until: Unix time in seconds after which the entry is dropped.
    """

    workspace: str
    key: str
    digest: str
    generation_id: str
    home: str
    copy: str
    created_at: float
    keep_until: float
