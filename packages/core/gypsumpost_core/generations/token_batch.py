"""Output of an engine from one event of its stream."""

import attrs


@attrs.frozen(kw_only=True)
class TokenBatch:
    """Tokens of one event of an engine's stream.

    :param attempt: number of the attempt that the stream belongs to.
    :param offset: number of output tokens of this attempt before the event.
    :param token_ids: ids of the tokens.
    :param text: text completed by the tokens; empty if the last character is incomplete.
    :param prompt_token_ids: token ids of the prompt, only in the first event.
    :param finish_reason: why the output ended, only in the last event.
    """

    attempt: int
    offset: int
    token_ids: tuple[int, ...]
    text: str
    prompt_token_ids: tuple[int, ...] | None = None
    finish_reason: str | None = None
