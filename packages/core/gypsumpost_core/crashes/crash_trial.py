"""A request that tries whether endpoints still crash on what it contains."""

import attrs


@attrs.frozen(kw_only=True)
class CrashTrial:
    """The one request that a host lets through although it contains a cause of crashes.

    :param request_id: the request.
    :param started_at: monotonic time in seconds.
    :param ends_at: monotonic time in seconds at which the request ends at the latest.
    """

    request_id: str
    started_at: float
    ends_at: float
