"""How far the run of a request has come at an endpoint."""

import attrs

SURVIVAL_SECONDS = 0.5
"""A crash-causing request crashes its endpoint about 0.1 s after the endpoint begins to write."""


@attrs.frozen(kw_only=True)
class RunProgress:
    """The progress of a run.

    :param sent_seconds: time since the request was sent.
    :param written_seconds: time from the first event of the run to its last one, ``None`` if the
        endpoint has not begun to write.
    """

    sent_seconds: float
    written_seconds: float | None = None

    @property
    def stage(self) -> str:
        """``reading`` before the first event, else ``writing``."""
        return "reading" if self.written_seconds is None else "writing"

    @property
    def survived(self) -> bool:
        """True if the endpoint has written for longer than a crash-causing request lets it."""
        return self.written_seconds is not None and self.written_seconds >= SURVIVAL_SECONDS
