"""A validated generation request."""

import attrs

from gypsumpost_core.generations.generation_kind import GenerationKind


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """Fields of a caller's body that the system uses; all others are passed to the engine.

    :param kind: completion or chat.
    :param model: name of the model.
    :param max_tokens: maximum number of output tokens.
    :param stream: true if the caller requested server-sent events.
    :param stop: stop sequences.
    :param return_token_ids: true if the caller requested token ids.
    :param include_usage: true if the last event of a stream includes the usage.
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
