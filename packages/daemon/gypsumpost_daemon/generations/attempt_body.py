"""HTTP requests for attempts on engines."""

from typing import Any

import orjson

from gypsumpost_core.generations.attempt_plan import AttemptPlan
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord

CALLER_ONLY_FIELDS = ("stream_options", "max_completion_tokens")
PROMPT_FIELDS = ("messages", "prompt")

PATHS = {
    GenerationKind.COMPLETION: "/v1/completions",
    GenerationKind.CHAT: "/v1/chat/completions",
}


def build_attempt_request(record: GenerationRecord, plan: AttemptPlan) -> tuple[str, bytes]:
    """Return the path and body of an attempt's HTTP request.

    A continuation uses the completions path, even for a chat, because the exact prompt and the
    output so far can only be sent as token ids.

    :param record: the generation.
    :param plan: the attempt.
    """
    body: dict[str, Any] = orjson.loads(record.body)
    for name in CALLER_ONLY_FIELDS:
        body.pop(name, None)
    path = PATHS[record.kind]
    if plan.prompt_token_ids is not None:
        for name in PROMPT_FIELDS:
            body.pop(name, None)
        body["prompt"] = list(plan.prompt_token_ids)
        path = PATHS[GenerationKind.COMPLETION]
    body |= {
        "stream": True,
        "return_token_ids": True,
        "include_stop_str_in_output": True,
        "max_tokens": plan.max_tokens,
        "priority": record.priority,
        "stop": list(record.stop),
    }
    return path, orjson.dumps(body)
