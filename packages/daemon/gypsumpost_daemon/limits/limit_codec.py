"""Encoding of the limits on requests that endpoints have named."""

import math
from collections.abc import Iterable
from typing import Any

from gypsumpost_core.limits.request_limit import RequestLimit

NO_LIMIT = -1.0
MAX_LIMIT_NUMBER = 0xFFFFFFFF


def encode_limits(limits: Iterable[RequestLimit]) -> list[dict[str, Any]]:
    """Return limits as fields of a message.

    :param limits: the limits.
    """
    return [
        {
            "key": limit.key,
            "perSecond": NO_LIMIT if limit.per_second is None else limit.per_second,
            "number": min(MAX_LIMIT_NUMBER, limit.number),
        }
        for limit in limits
    ]


def decode_limits(messages: Any) -> tuple[RequestLimit, ...]:
    """Return the limits in a message.

    :param messages: a list of the schema's ``Limit``.
    :raises ValueError: if a limit is no finite number.
    """
    return tuple(_decode_limit(message) for message in messages)


def _decode_limit(message: Any) -> RequestLimit:
    if not math.isfinite(message.perSecond):
        raise ValueError(f"the limit {message.perSecond} is no finite number")
    per_second = None if message.perSecond < 0 else message.perSecond
    return RequestLimit(key=message.key, per_second=per_second, number=message.number)
