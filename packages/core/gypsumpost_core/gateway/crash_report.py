"""Report of an endpoint that crashed while it ran a request."""

import attrs


@attrs.frozen(kw_only=True)
class CrashReport:
    """A request and the endpoint process that crashed while running it.

    :param fingerprint: digest of path, workspace and body.
    :param endpoint_id: the endpoint.
    :param started_at: Unix milliseconds at which the process started.
    """

    fingerprint: bytes
    endpoint_id: str
    started_at: int
