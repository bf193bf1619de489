"""A report of where the copy of a stream is."""

import attrs


@attrs.frozen(kw_only=True)
class CopyReport:
    """A stream of a host, for the case that its caller goes on at another host.

    :param fingerprint: digest of the request, see :class:`CrashReport`.
    :param request_id: id under which the engines know the stream.
    :param copy_engine: id of the engine that holds the copy.
    """

    fingerprint: bytes
    request_id: str
    copy_engine: str
