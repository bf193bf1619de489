"""The result of a caller's request for an answer."""

import attrs

from gypsumpost_bench.caller_kind import CallerKind
from gypsumpost_cli.answer import Answer


@attrs.frozen(kw_only=True)
class AnswerEvent:
    """A request and its result.

    :param kind: kind of caller.
    :param prompt_token_ids: token ids of the prompt, as an engine reports them.
    :param max_tokens: ``max_tokens`` of the request.
    :param answer: what the caller received, complete or not, and its error.
    :param ended_at: time at which the caller stopped reading.
    """

    kind: CallerKind
    prompt_token_ids: list[int]
    max_tokens: int
    answer: Answer
    ended_at: float
