"""The limits on requests that endpoints have named, as this host knows them."""

from collections import OrderedDict

import attrs

from gypsumpost_core.limits.known_limit import KnownLimit
from gypsumpost_core.limits.request_limit import RequestLimit

MAX_LIMITS = 1024
"""Limits kept; endpoints that have restarted leave theirs behind."""

TELL_SECONDS = 10.0
"""How long peers are told that a limit has ended. A host that was cut off for longer and still has
the limit is told again when it reports it."""

FORGET_SECONDS = 600.0
"""Time after which a limit is forgotten if it was not heard again: the endpoint has probably ended.
A host that hears it tells it again."""


@attrs.define(kw_only=True)
class RequestLimits:
    """Limits of endpoints, learned from their answers or from other hosts.

    :param own_id: this host.
    """

    own_id: str
    _known: OrderedDict[str, KnownLimit] = attrs.field(factory=OrderedDict, init=False)

    def observe(self, key: str, per_second: float | None, *, sent_at: float, now: float) -> bool:
        """Learn from an answer of an endpoint which limit it names.

        An answer to a request that was sent before the known limit was learned may be older than
        that limit, and changes nothing.

        :param key: the process of the endpoint.
        :param per_second: the limit in requests per second, ``None`` if the answer names none.
        :param sent_at: monotonic time in seconds at which the request was sent.
        :param now: monotonic time in seconds.
        :returns: true if the limit has changed.
        """
        known = self._known.get(key)
        if known is None:
            if per_second is None:
                return False
            number = 1
        elif known.limit.per_second == per_second:
            known.heard_at = now
            return False
        elif sent_at < known.learned_at:
            return False
        else:
            number = known.limit.number + 1
        limit = RequestLimit(key=key, per_second=per_second, number=number)
        self._put(limit, self.own_id, now)
        return True

    def merge(self, limit: RequestLimit, source: str, now: float) -> bool:
        """Learn a limit from another host.

        :param limit: the limit as the other host knows it.
        :param source: the other host.
        :param now: monotonic time in seconds.
        :returns: true if the limit has changed.
        """
        known = self._known.get(limit.key)
        if known is not None and not limit.is_newer_than(known.limit):
            if known.limit.is_newer_than(limit):
                known.told_until = now + TELL_SECONDS
            return False
        if known is None and limit.per_second is None:
            return False
        self._put(limit, source, now)
        return True

    def get(self, key: str) -> float | None:
        """Return the limit of an endpoint in requests per second, ``None`` if it has none.

        :param key: the process of the endpoint.
        """
        known = self._known.get(key)
        return None if known is None else known.limit.per_second

    def find(self, key: str) -> KnownLimit | None:
        """Return what is known of an endpoint's limit, ``None`` if it has never named one.

        :param key: the process of the endpoint.
        """
        return self._known.get(key)

    def list_in_force(self) -> list[KnownLimit]:
        """Return the limits that are in force."""
        return [known for known in self._known.values() if known.limit.per_second is not None]

    def list_told(self, now: float) -> list[RequestLimit]:
        """Return the limits that peers have to know: those in force, and those that ended lately.

        Those that this host has not heard for long are forgotten first.

        :param now: monotonic time in seconds.
        """
        self._known = OrderedDict(
            (key, known)
            for key, known in self._known.items()
            if now < known.heard_at + FORGET_SECONDS
        )
        return [
            known.limit
            for known in self._known.values()
            if known.limit.per_second is not None or now < known.told_until
        ]

    def _put(self, limit: RequestLimit, source: str, now: float) -> None:
        before = self._known.pop(limit.key, None)
        continues = before is not None and before.limit.per_second is not None
        self._known[limit.key] = KnownLimit(
            limit=limit,
            source=source,
            learned_at=now,
            heard_at=now,
            named_at=before.named_at if before is not None and continues else now,
            told_until=now + TELL_SECONDS,
        )
        if len(self._known) > MAX_LIMITS:
            self._known.popitem(last=False)
