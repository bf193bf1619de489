"""Output of an engine in one event."""

import attrs


@attrs.frozen(kw_only=True)
class TokenBatch:
    """Tokens that one event of an engine's stream carries.

    :param attempt: number of the attempt that the stream belongs to.
    :param offset: output tokens of this attempt before the event.
    :param token_ids: the tokens.
    :param text: text that the tokens complete; empty within a character.
    :param prompt_token_ids: the exact prompt, only in the first event.
    :param finish_reason: set by the last event.
    """

    attempt: int
    offset: int
    token_ids: tuple[int, ...]
    text: str
    prompt_token_ids: tuple[int, ...] | None = None
    finish_reason: str | None = None
