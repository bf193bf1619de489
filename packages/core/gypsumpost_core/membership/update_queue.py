"""Queue of recent updates to gossip."""

import attrs

from gypsumpost_core.membership.member_update import MemberUpdate

MAX_QUEUED = 512


@attrs.define(kw_only=True)
class QueuedUpdate:
    """An update with the number of times it was sent."""

    update: MemberUpdate
    sent: int = 0


class UpdateQueue:
    """Updates to piggyback, least-sent first; each is sent a bounded number of times."""

    def __init__(self) -> None:
        self._queued: dict[str, QueuedUpdate] = {}

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, replacing an older one about the same host.

        :param update: the update to send.
        """
        host_id = update.host.host_id
        self._queued.pop(host_id, None)
        if len(self._queued) >= MAX_QUEUED:
            del self._queued[next(iter(self._queued))]
        self._queued[host_id] = QueuedUpdate(update=update)

    def select(self, max_bytes: int, limit: int) -> list[MemberUpdate]:
        """Return updates for one datagram.

        :param max_bytes: space left in the datagram.
        :param limit: number of times each update is sent.
        """
        if not self._queued:
            return []
        selected = []
        for queued in sorted(self._queued.values(), key=lambda entry: entry.sent):
            max_bytes -= queued.update.estimate_bytes()
            if max_bytes < 0:
                break
            selected.append(queued.update)
            queued.sent += 1
            if queued.sent >= limit:
                del self._queued[queued.update.host.host_id]
        return selected
