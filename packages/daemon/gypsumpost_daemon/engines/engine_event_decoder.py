"""Decodes the JSON events of an engine."""

from array import array
from typing import Any

import orjson

from gypsumpost_daemon.engines.engine_event import EngineEvent

DONE = b"[DONE]"


def decode_event(payload: bytes) -> EngineEvent:
    """Decode the data of one server-sent event.

    :param payload: value of the event's ``data`` field.
    :raises ValueError: if it is not an event as described in docs/design.md section 6.
    """
    if payload == DONE:
        return EngineEvent(done=True)
    value = orjson.loads(payload)
    try:
        return create_event(value)
    except (KeyError, TypeError, IndexError, AttributeError, OverflowError) as error:
        raise ValueError(f"the event has an unknown form: {payload[:200]!r}") from error


def create_event(value: dict[str, Any]) -> EngineEvent:
    """Create an event from decoded JSON.

    :param value: the JSON object.
    :raises ValueError: if the engine reports an error or a field has a wrong type.
    """
    if "error" in value:
        raise ValueError(f"the engine reports an error: {value['error']}")
    choices = value["choices"]
    if not choices:
        return EngineEvent(offset=value.get("offset", -1), usage=value.get("usage"))
    choice = choices[0]
    text = choice["text"] if "text" in choice else choice["delta"].get("content")
    event = EngineEvent(
        offset=value["offset"],
        text=text or "",
        token_ids=choice.get("token_ids") or [],
        prompt_token_ids=value.get("prompt_token_ids"),
        finish_reason=choice.get("finish_reason"),
        usage=value.get("usage"),
    )
    if (
        type(event.offset) is not int
        or type(event.text) is not str
        or type(event.token_ids) is not list
        or type(event.finish_reason) not in (str, type(None))
    ):
        raise TypeError("a field has a wrong type")
    _check_token_ids(event.token_ids)
    _check_token_ids(event.prompt_token_ids or [])
    return event


def _check_token_ids(token_ids: list[int]) -> None:
    # Copies of generations encode token ids as unsigned 32-bit integers; any other value would
    # fail there.
    array("I", token_ids)
