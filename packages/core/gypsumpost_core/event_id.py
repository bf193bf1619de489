"""Ids of the events that callers see."""

import re

import attrs

NO_HOST = "-"
_PATTERN = re.compile(
    r"([A-Za-z0-9]{8,64})\.([A-Za-z0-9-]{1,63})\.([A-Za-z0-9-]{1,63}):(0|[1-9][0-9]{0,8})"
)


@attrs.frozen(kw_only=True)
class EventId:
    """Says which part of which answer a caller has, and where the rest is.

    :param generation_id: the generation.
    :param home: host of the daemon that sent the event.
    :param copy: host that holds a copy, ``-`` for none.
    :param offset: output tokens that the caller has with this event.
    """

    generation_id: str
    home: str
    copy: str
    offset: int

    def __str__(self) -> str:
        return f"{self.generation_id}.{self.home}.{self.copy}:{self.offset}"

    @property
    def resume_id(self) -> str:
        """The id without the offset."""
        return f"{self.generation_id}.{self.home}.{self.copy}"


def parse_event_id(text: str) -> EventId | None:
    """Parse an event id, or a resume id, whose offset is 0.

    :param text: the id as the caller sent it.
    :returns: the id, ``None`` if the text is not one.
    """
    match = _PATTERN.fullmatch(text if ":" in text else f"{text}:0")
    if match is None:
        return None
    generation_id, home, copy, offset = match.groups()
    return EventId(generation_id=generation_id, home=home, copy=copy, offset=int(offset))
