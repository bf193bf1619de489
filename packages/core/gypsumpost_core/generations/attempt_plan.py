"""Parameters of the request that an attempt sends to its engine."""

import attrs


@attrs.frozen(kw_only=True)
class AttemptPlan:
    """Request parameters of one attempt.

    :param attempt: number of the attempt.
    :param stream_id: id of the attempt's stream on the engine.
    :param prompt_token_ids: prompt followed by the output so far, ``None`` to send the caller's
        prompt.
    :param max_tokens: maximum number of tokens that this attempt may produce.
    """

    attempt: int
    stream_id: str
    prompt_token_ids: tuple[int, ...] | None
    max_tokens: int
