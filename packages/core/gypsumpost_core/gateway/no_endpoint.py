"""Why no endpoint takes a request."""

import attrs


@attrs.frozen(kw_only=True)
class NoEndpoint:
    """The reason, and when the request may come back.

    :param reason: the reason, for the log and the caller.
    :param opens_at: monotonic time in seconds at which an endpoint takes requests again, ``None``
        if that is not known.
    """

    reason: str = "no endpoint takes work"
    opens_at: float | None = None
