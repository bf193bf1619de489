"""Ids of the server-sent events that callers receive."""

import re

import attrs

NO_HOST = "-"
_PATTERN = re.compile(
    r"([A-Za-z0-9]{8,64})\.([A-Za-z0-9-]{1,63})(?:_([0-9a-z]{1,32}))?"
    r"\.([A-Za-z0-9-]{1,63}):(0|[1-9][0-9]{0,8})"
)


@attrs.frozen(kw_only=True)
class EventId:
    """Position in an answer, and the hosts from which it can be resumed.

    :param generation_id: the generation.
    :param home: host of the daemon that sent the event.
    :param copy: host that holds a copy, ``-`` for none.
    :param offset: number of output tokens that the caller has received up to and including this
        event.
    :param attempt: name of the attempt that produced the last of these tokens, empty if there are
        none.
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
        """Id of the generation and its hosts, without an offset."""
        return f"{self.generation_id}.{describe_home(self.home, self.attempt)}.{self.copy}"


def parse_event_id(text: str) -> EventId | None:
    """Parse an event id or a resume id; the offset of a resume id is 0.

    :param text: the id as sent by the caller.
    :returns: the id, ``None`` if the text is not a valid id.
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
    """Format the section of an event id that contains the home and the attempt.

    :param home: host id of the home.
    :param attempt: name of the attempt that produced the last token, empty if there is none.
    """
    return f"{home}_{attempt}" if attempt else home
