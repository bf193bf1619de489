"""Tests of the token chain and its checker."""

import pytest

from gypsumpost_cli.token_chain import TokenChain, find_chain_error
from gypsumpost_cli.vocabulary import ANSWER_MARKER, tokenize_text

PROMPT = [*tokenize_text("a prompt"), ANSWER_MARKER]


def produce(prompt: list[int], count: int, seed: int | None = None) -> list[int]:
    chain = TokenChain(prompt=prompt, seed=seed)
    output = []
    for _ in range(count):
        output.append(chain.compute_next())
        chain.feed(output[-1])
    return output


def test_whole_answer_has_no_error() -> None:
    """Guards against a checker that rejects correct answers."""
    assert find_chain_error(PROMPT, produce(PROMPT, 300, seed=1)) is None


def test_continuation_equals_the_answer_without_a_break() -> None:
    """Guards against a continuation that starts a new chain."""
    whole = produce(PROMPT, 200, seed=2)
    assert whole[:80] + produce(PROMPT + whole[:80], 120) == whole


@pytest.mark.parametrize("position", [0, 1, 2, 50, 99])
def test_checker_finds_a_missing_a_repeated_and_a_foreign_token(position: int) -> None:
    """Guards against a checker that never reports an error."""
    answer, other = produce(PROMPT, 100, seed=3), produce(PROMPT, 100, seed=4)
    missing = answer[:position] + answer[position + 1 :]
    repeated = answer[: position + 1] + answer[position:]
    blended = answer[: position + 1] + other[position + 1 :]
    assert position == 99 or find_chain_error(PROMPT, missing)
    assert find_chain_error(PROMPT, repeated)
    assert position == 99 or find_chain_error(PROMPT, blended)
