"""A validated generation request."""

import attrs

from gypsumpost_core.generations.generation_kind import GenerationKind


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """What the system reads from a caller's body; the rest passes through to the engine.

    :param kind: completion or chat.
    :param model: name of the model.
    :param max_tokens: most output tokens.
    :param stream: true if the caller wants server-sent events.
    :param stop: stop sequences.
    :param return_token_ids: true if the caller wants token ids.
    :param include_usage: true if a stream ends with a usage event.
    :param prompt_tokens: estimated number of prompt tokens.
    :param prompt_sample: the start of the prompt as bytes, for prefix digests.
    """

    kind: GenerationKind
    model: str
    max_tokens: int
    stream: bool
    stop: tuple[str, ...]
    return_token_ids: bool
    include_usage: bool
    prompt_tokens: int
    prompt_sample: bytes
