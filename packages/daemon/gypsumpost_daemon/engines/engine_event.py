"""One event of an engine's stream."""

from typing import Any

import attrs


@attrs.define(kw_only=True)
class EngineEvent:
    """Output tokens of an engine, or the end of its stream.

    The class is not frozen because creating a frozen one takes twice as long, once per token.

    :param offset: number of the first token in this event, counted from 0.
    :param text: text of the tokens; empty while it ends within a UTF-8 character.
    :param token_ids: ids of the tokens.
    :param prompt_token_ids: ids of the prompt's tokens, in the first event only.
    :param finish_reason: why the output ended, in the last event with tokens.
    :param usage: the engine's token counts, in the last event.
    :param done: true for ``data: [DONE]``, which has no other content.
    """

    offset: int = -1
    text: str = ""
    token_ids: list[int] = attrs.field(factory=list)
    prompt_token_ids: list[int] | None = None
    finish_reason: str | None = None
    usage: dict[str, Any] | None = None
    done: bool = False
