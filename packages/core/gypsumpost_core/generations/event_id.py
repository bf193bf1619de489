"""Ids of the events that callers see."""

import re

import attrs

NO_HOST = "-"
_PATTERN = re.compile(
    r"([A-Za-z0-9]{8,64})\.([A-Za-z0-9-]{1,63})(?:_([0-9a-z]{1,32}))?"
    r"\.([A-Za-z0-9-]{1,63}):(0|[1-9][0-9]{0,8})"
)


@attrs.frozen(kw_only=True)
class EventId:
    """Says which part of which answer a caller has, and where the rest is.

    :param generation_id: the generation.
    :param home: host of the daemon that sent the event.
    :param copy: host that holds a copy, ``-`` for none.
    :param offset: output tokens that the caller has with this event.
    :param attempt: name of the attempt that produced the last of them, empty without tokens.
    """

    generation_id: str
    home: str
    copy: str
    offset: int
    attempt: str = ""

    def __str__(self) -> str:
        return f"{self.resume_id}:{self.offset}"

    @property
    def resume_id(self) -> str:
        """The id without the offset."""
        return f"{self.generation_id}.{describe_home(self.home, self.attempt)}.{self.copy}"


def parse_event_id(text: str) -> EventId | None:
    """Parse an event id, or a resume id, whose offset is 0.

    :param text: the id as the caller sent it.
    :returns: the id, ``None`` if the text is not one.
    """
    match = _PATTERN.fullmatch(text if ":" in text else f"{text}:0")
    if match is None:
        return None
    generation_id, home, attempt, copy, offset = match.groups()
    return EventId(
        generation_id=generation_id,
        home=home,
        attempt=attempt or "",
        copy=copy,
        offset=int(offset),
    )


def describe_home(home: str, attempt: str) -> str:
    """Return the part of an event id that names the home and the attempt.

    :param home: the host.
    :param attempt: name of the attempt that produced the last token, empty without tokens.
    """
    return f"{home}_{attempt}" if attempt else home
