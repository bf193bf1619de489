"""What daemons of a failure domain tell each other about a suspected request."""

import attrs

from gypsumpost_core.engine_death import EngineDeath


@attrs.frozen(kw_only=True)
class SuspicionReport:
    """Evidence against one request; its size is bounded by the engines it may cost.

    :param fingerprint: digest of workspace and body.
    :param deaths: deaths with the request in flight, at most three.
    :param expires_at: Unix time in seconds at which the record expires.
    """

    fingerprint: str
    deaths: tuple[EngineDeath, ...]
    expires_at: float
