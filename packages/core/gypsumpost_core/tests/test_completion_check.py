"""Tests of the validation of a caller's generation request."""

from typing import Any

import pytest

from gypsumpost_core.generations.completion_check import DEFAULT_MAX_TOKENS, check_completion
from gypsumpost_core.generations.generation_kind import GenerationKind

BODY: dict[str, Any] = {"model": "summary", "prompt": "Hello"}


def check(**fields: Any) -> Any:
    return check_completion(BODY | fields, GenerationKind.COMPLETION)


def test_a_null_limit_leaves_the_other_one_in_force() -> None:
    """Guards against 256 tokens for a caller whose client writes the unused limit as null."""
    checked = check(max_completion_tokens=None, max_tokens=40)
    assert checked.unwrap().max_tokens == 40
    assert check(max_completion_tokens=None).unwrap().max_tokens == DEFAULT_MAX_TOKENS


@pytest.mark.parametrize("fields", [{"n": True}, {"best_of": True}, {"echo": 0}, {"n": 2}])
def test_a_value_of_another_type_is_refused(fields: dict[str, Any]) -> None:
    """Guards against fields that equal the accepted value in Python, but not in JSON."""
    assert check(**fields).unwrap_err().status == 400


def test_accepted_values_and_null_pass() -> None:
    """Guards against refusing a client that writes out the defaults."""
    assert check(n=1, best_of=None, echo=False, logprobs=None).is_ok()
