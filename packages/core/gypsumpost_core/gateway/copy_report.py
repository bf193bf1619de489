"""Report of a stream and of the engine that holds its copy."""

import attrs


@attrs.frozen(kw_only=True)
class CopyReport:
    """A stream of a host, reported so that its caller can resume it at another host.

    :param fingerprint: digest of the request, see :class:`CrashReport`.
    :param request_id: id of the stream at the engines.
    :param copy_engine: id of the engine that holds the copy, empty for none.
    :param continues: id of the stream that this one continues, empty for none.
    :param broken: true if the stream has ended before its last event.
    :param last_event_id: id of the last event that a broken stream has passed on to its caller.
    """

    fingerprint: bytes
    request_id: str
    copy_engine: str
    continues: str = ""
    broken: bool = False
    last_event_id: bytes = b""
