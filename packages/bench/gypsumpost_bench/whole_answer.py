"""Requests an answer without streaming."""

import uuid
from typing import Any

import httpcore
import orjson
import trio

from gypsumpost_cli.answer import Answer


async def request_whole_answer(address: str, key: str, body: dict[str, Any]) -> Answer:
    """Request an answer without streaming; a refusal is returned as its ``error``.

    :param address: ``ip:port`` of an entry host.
    :param key: bearer key of the workspace.
    :param body: the completion request.
    """
    answer = Answer(request_id=uuid.uuid4().hex[:16], sent_at=trio.current_time())
    headers = [
        ("Host", "gypsumpost"),
        ("Authorization", f"Bearer {key}"),
        ("Content-Type", "application/json"),
        ("X-Request-Id", answer.request_id),
    ]
    content = orjson.dumps(body | {"return_token_ids": True})
    url = f"http://{address}/v1/completions"
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", url, headers=headers, content=content)
    document = orjson.loads(response.content)
    if response.status != 200:
        answer.error = f"{response.status}: {document['error']['message']}"
        return answer
    choice = document["choices"][0]
    answer.prompt_token_ids, answer.token_ids = document["prompt_token_ids"], choice["token_ids"]
    answer.text, answer.finish_reason = choice["text"], choice["finish_reason"]
    return answer
