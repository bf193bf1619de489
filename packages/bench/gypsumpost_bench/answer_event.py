"""An answer that a caller received, or failed to receive."""

import attrs

from gypsumpost_bench.caller_kind import CallerKind
from gypsumpost_cli.answer import Answer


@attrs.frozen(kw_only=True)
class AnswerEvent:
    """A request and what came of it.

    :param kind: what kind of caller it was.
    :param prompt_token_ids: the exact prompt of the request.
    :param max_tokens: length that the request asked for.
    :param answer: what the caller received.
    :param ended_at: time at which the caller stopped.
    """

    kind: CallerKind
    prompt_token_ids: list[int]
    max_tokens: int
    answer: Answer
    ended_at: float
