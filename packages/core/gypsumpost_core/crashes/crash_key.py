"""What a crash can be counted against."""

import enum

import attrs


class CauseKind(enum.Enum):
    """A whole request with its repeats, or a part that requests share."""

    REQUEST = "request"
    PART = "part"


@attrs.frozen(kw_only=True, cache_hash=True)
class CrashKey:
    """A possible cause of crashes.

    :param kind: kind of the cause.
    :param digest: digest of the request or of the part.
    """

    kind: CauseKind
    digest: bytes
