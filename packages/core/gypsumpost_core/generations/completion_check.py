"""Validation of a caller's generation request."""

import json
from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.completion_request import CompletionRequest
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.run_state import RunState

DEFAULT_MAX_TOKENS = 256
LARGEST_MAX_TOKENS = 200_000
MAX_STOP_SEQUENCES = 16
MAX_STOP_CHARACTERS = 200
BYTES_PER_TOKEN = 4
"""Approximate length of a token, for estimates before the engine has tokenized the prompt."""

UNSUPPORTED = {"n": 1, "best_of": 1, "echo": False, "logprobs": None, "top_logprobs": None}
"""Fields that would change the response format, with the only accepted value."""


class RequestError(Exception):
    """An invalid field; ``check_completion`` converts it to a ``Failure``."""


def check_completion(body: Any, kind: GenerationKind) -> Result[CompletionRequest, Failure]:
    """Validate a decoded request body.

    :param body: the decoded JSON.
    :param kind: the interface that received the request.
    :returns: the request, or a failure with status 400 that names the invalid field.
    """
    try:
        return Ok(_read_request(body, kind))
    except RequestError as error:
        return Err(
            Failure(
                status=400,
                code="invalid_request",
                message=str(error),
                run_state=RunState.NOT_RUN,
            )
        )


def _read_request(body: Any, kind: GenerationKind) -> CompletionRequest:
    if not isinstance(body, dict):
        raise RequestError("The body must be a JSON object.")
    _refuse_unsupported(body)
    sample, tokens = _read_prompt(body, kind)
    options = body.get("stream_options") or {}
    if not isinstance(options, dict):
        raise RequestError("'stream_options' must be an object.")
    return CompletionRequest(
        kind=kind,
        model=_read_text(body, "model"),
        max_tokens=_read_max_tokens(body),
        stream=_read_flag(body, "stream"),
        stop=_read_stop(body.get("stop")),
        return_token_ids=_read_flag(body, "return_token_ids"),
        include_usage=_read_flag(options, "include_usage"),
        prompt_tokens=tokens,
        prompt_sample=sample,
    )


def _refuse_unsupported(body: Mapping[str, Any]) -> None:
    for name, accepted in UNSUPPORTED.items():
        value = body.get(name)
        if value is not None and not _is_same_value(value, accepted):
            raise RequestError(f"'{name}' is not supported.")
    if body.get("seed") is not None and type(body["seed"]) is not int:
        raise RequestError("'seed' must be a whole number.")


def _is_same_value(value: Any, accepted: Any) -> bool:
    """Return true if two JSON values are equal; in Python ``True == 1`` as well."""
    return isinstance(value, bool) == isinstance(accepted, bool) and bool(value == accepted)


def _read_text(body: Mapping[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise RequestError(f"'{name}' must be a non-empty string.")
    return value


def _read_flag(body: Mapping[str, Any], name: str) -> bool:
    value = body.get(name)
    if value is not None and not isinstance(value, bool):
        raise RequestError(f"'{name}' must be true or false.")
    return bool(value)


def _read_max_tokens(body: Mapping[str, Any]) -> int:
    value = body.get("max_completion_tokens")
    if value is None:
        value = body.get("max_tokens")
    if value is None:
        return DEFAULT_MAX_TOKENS
    if type(value) is not int or not 1 <= value <= LARGEST_MAX_TOKENS:
        raise RequestError(f"'max_tokens' must be a whole number from 1 to {LARGEST_MAX_TOKENS}.")
    return value


def _read_stop(value: Any) -> tuple[str, ...]:
    sequences = [value] if isinstance(value, str) else value or []
    if not isinstance(sequences, list) or len(sequences) > MAX_STOP_SEQUENCES:
        raise RequestError(f"'stop' must be a string or up to {MAX_STOP_SEQUENCES} strings.")
    for sequence in sequences:
        if not isinstance(sequence, str) or not 0 < len(sequence) <= MAX_STOP_CHARACTERS:
            raise RequestError(
                f"Each stop sequence must be a string of 1 to {MAX_STOP_CHARACTERS} characters."
            )
    return tuple(sequences)


def _read_prompt(body: Mapping[str, Any], kind: GenerationKind) -> tuple[bytes, int]:
    if kind is GenerationKind.CHAT:
        return _read_messages(body.get("messages"))
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        data = prompt.encode(errors="replace")
        return data, 1 + len(data) // BYTES_PER_TOKEN
    if isinstance(prompt, list) and prompt and all(_is_token_id(token) for token in prompt):
        return b"".join(token.to_bytes(4, "little") for token in prompt), len(prompt)
    raise RequestError("'prompt' must be a string or a non-empty list of token ids.")


def _read_messages(messages: Any) -> tuple[bytes, int]:
    if not isinstance(messages, list) or not messages:
        raise RequestError("'messages' must be a non-empty list.")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise RequestError("Each message must be an object with a 'role'.")
        if not isinstance(message.get("content"), str):
            raise RequestError("The 'content' of each message must be a string.")
    data = json.dumps(messages).encode()
    return data, 1 + len(data) // BYTES_PER_TOKEN


def _is_token_id(value: Any) -> bool:
    return type(value) is int and 0 <= value < 1 << 32
