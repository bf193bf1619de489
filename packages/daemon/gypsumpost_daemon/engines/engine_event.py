"""One event of an engine's response stream."""

from typing import Any

import attrs


@attrs.define(kw_only=True)
class EngineEvent:
    """Output tokens of an engine, or the end of its stream.

    The class is not frozen because creating frozen instances takes twice as long, and one is
    created for each token.

    :param offset: offset of the first token of this event in the output, from 0.
    :param text: text of the tokens; empty while it would end within a UTF-8 character.
    :param token_ids: ids of the tokens.
    :param prompt_token_ids: token ids of the prompt, in the first event only.
    :param finish_reason: reason for the end of the output, in the last event with tokens.
    :param usage: the engine's token counts, in the last event.
    :param done: true for ``data: [DONE]``, which ends the stream and has no other content.
    """

    offset: int = -1
    text: str = ""
    token_ids: list[int] = attrs.field(factory=list)
    prompt_token_ids: list[int] | None = None
    finish_reason: str | None = None
    usage: dict[str, Any] | None = None
    done: bool = False
