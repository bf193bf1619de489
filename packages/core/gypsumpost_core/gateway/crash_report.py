"""A report that an endpoint crashed while it ran a request."""

import attrs


@attrs.frozen(kw_only=True)
class CrashReport:
    """A request and the start of the endpoint that crashed under it.

    :param fingerprint: digest of path, workspace and body.
    :param endpoint_id: the endpoint.
    :param started_at: Unix milliseconds of its start.
    """

    fingerprint: bytes
    endpoint_id: str
    started_at: int
