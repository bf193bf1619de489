"""Report of the engine that holds the copy of a stream."""

import attrs


@attrs.frozen(kw_only=True)
class CopyReport:
    """A stream of a host, reported so that its caller can resume it at another host.

    :param fingerprint: digest of the request, see :class:`CrashReport`.
    :param request_id: id of the stream at the engines.
    :param copy_engine: id of the engine that holds the copy.
    :param continues: id of the stream that this one continues from its copy, empty for none.
    """

    fingerprint: bytes
    request_id: str
    copy_engine: str
    continues: str = ""
