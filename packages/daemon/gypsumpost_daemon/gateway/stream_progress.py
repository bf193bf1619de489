"""Progress of a stream over its attempts."""

from collections.abc import Iterable

import attrs

from gypsumpost_core.decimal_digits import is_above
from gypsumpost_core.gateway.copy_source import CopySource
from gypsumpost_core.gateway.stream_usage import StreamUsage


@attrs.define(kw_only=True)
class StreamProgress:
    """State that is needed to resume a stream on another engine.

    :param last_event_id: id of the last event that the caller has received, empty for none.
    :param usage: usage of the stream's engines.
    :param continues: id of the stream of another host that this one continues, empty for none.
    :param copy: the copy from which the next attempt resumes, ``None`` for none.
    :param newest_copy: the copy of the running attempt, ``None`` for none.
    :param copy_retried: true if the stream was sent to the holder of the copy a second time.
    :param failed_sends: number of failed attempts whose request was sent to an engine.
    :param resuming: true from the start of an attempt that resumes the stream to its first event.
    :param content_type: content type of the answer that the caller receives.
    :param events: number of events that the caller has received.
    :param first_event_at: monotonic time of the first event, ``None`` before it.
    :param last_event_at: monotonic time of the last event, ``None`` before the first.
    :param longest_gap: longest pause between events in seconds.
    """

    last_event_id: bytes
    usage: StreamUsage
    continues: str = ""
    copy: CopySource | None = None
    newest_copy: CopySource | None = None
    copy_retried: bool = False
    failed_sends: int = 0
    resuming: bool = False
    content_type: bytes = b""
    events: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap: float = 0.0

    def record_events(self, count: int, last_event_id: bytes, now: float) -> None:
        """Record events that were passed on to the caller.

        :param count: number of events.
        :param last_event_id: id of the last one, empty if it has none.
        :param now: monotonic time in seconds.
        """
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now
        self.events += count
        self.last_event_id = last_event_id or self.last_event_id

    def is_continued_by(self, event_ids: Iterable[bytes]) -> bool:
        """Return false if an id of an event is one that the caller has already received.

        Only ids that are numbers can be compared.

        :param event_ids: ids of the next events in order, empty for events without one.
        """
        last = self.last_event_id
        for event_id in filter(None, event_ids):
            if last.isdigit() and event_id.isdigit() and not is_above(event_id, last):
                return False
            last = event_id
        return True
