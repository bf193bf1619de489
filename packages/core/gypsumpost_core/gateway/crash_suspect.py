"""A request that an endpoint had when it crashed."""

import attrs


@attrs.frozen(kw_only=True)
class CrashSuspect:
    """A request and how far its run had come when the endpoint crashed.

    :param fingerprint: digest of method, path, workspace and body.
    :param parts: digests of the parts of its prompt that other requests may share.
    :param sent_seconds: time since the request was sent.
    :param written_seconds: time from the first event of the run to its last one, ``None`` if the
        endpoint had not begun to write.
    """

    fingerprint: bytes
    parts: tuple[bytes, ...] = ()
    sent_seconds: float
    written_seconds: float | None = None

    @property
    def stage(self) -> str:
        """``reading`` before the first event, else ``writing``."""
        return "reading" if self.written_seconds is None else "writing"
