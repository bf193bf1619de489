"""What daemons of a failure domain tell each other about a suspected request."""

import attrs

from gypsumpost_core.suspicion.engine_death import EngineDeath


@attrs.frozen(kw_only=True)
class SuspicionReport:
    """Evidence against one request; its size is bounded by the engines it may cost.

    :param fingerprint: digest of workspace and body.
    :param deaths: deaths with the request in flight, at most three.
    :param held_engine: engine on which the sender runs the request isolated, empty if none; no
        other daemon of the domain sends anything there.
    :param held_until: Unix time in seconds until which the sender holds the engine.
    :param expires_at: Unix time in seconds at which the record expires.
    """

    fingerprint: str
    deaths: tuple[EngineDeath, ...]
    expires_at: float
    held_engine: str = ""
    held_until: float = 0.0
