"""Request bodies for attempts on engines."""

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


def build_attempt(record: GenerationRecord, plan: AttemptPlan) -> tuple[str, bytes]:
    """Return path and body of an attempt.

    A continuation goes to the completions path with token ids, also for a chat, as only token ids
    carry the exact prompt and the output so far.

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
