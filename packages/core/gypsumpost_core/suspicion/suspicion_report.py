"""Report about a suspected request, exchanged between daemons."""

import attrs

from gypsumpost_core.suspicion.engine_death import EngineDeath


@attrs.frozen(kw_only=True)
class SuspicionReport:
    """Deaths counted against one request, and the engine held for its isolated run.

    The number of deaths is bounded by the number that causes a quarantine.

    :param fingerprint: digest of workspace, kind and body.
    :param deaths: engine deaths while the request was in flight, at most three.
    :param held_engine: engine that the sender holds for an isolated run of the request, empty if
        none; the other daemons of the domain send no requests to it.
    :param held_until: Unix time in seconds until which the sender holds the engine.
    :param expires_at: Unix time in seconds at which the record expires.
    """

    fingerprint: str
    deaths: tuple[EngineDeath, ...]
    expires_at: float
    held_engine: str = ""
    held_until: float = 0.0
