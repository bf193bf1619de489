"""A generation on a simulated engine."""

from collections.abc import Callable

import attrs

from gypsumpost_core.generations.attempt_outcome import AttemptOutcome


@attrs.define(kw_only=True, eq=False)
class SimulatedJob:
    """One attempt of a generation.

    :param prompt_tokens: tokens to prefill.
    :param output_tokens: tokens to generate.
    :param on_first_token: called at the first token.
    :param on_end: called at the end with the outcome and the tokens generated.
    :param finish_at: the engine's token count at which the job is complete, 0 before decoding.
    """

    prompt_tokens: int
    output_tokens: int
    on_first_token: Callable[[], None]
    on_end: Callable[[AttemptOutcome, int], None]
    finish_at: float = 0.0
