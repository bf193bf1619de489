"""Encodes the server-sent events of one generation for its caller."""

from collections.abc import Sequence
from typing import Any

import attrs
import orjson

from gypsumpost_core.generations.event_id import describe_home

DONE = b"data: [DONE]\n\n"


@attrs.frozen(kw_only=True)
class EventMetadata:
    """Fields that are the same in all events of a generation.

    :param generation_id: id of the generation.
    :param home: host that owns the generation.
    :param model: name of the model as given by the caller.
    :param created: Unix time in seconds at which the generation was created.
    :param chat: true for chat events, false for completion events.
    :param with_token_ids: true if the caller set ``return_token_ids``.
    """

    generation_id: str
    home: str
    model: str
    created: int
    chat: bool
    with_token_ids: bool


class EventEncoder:
    """Encodes events around constant JSON fragments that are prepared once per generation.

    Only text, token ids and offsets are encoded for each event. Every event has the id
    ``<generation>.<home>_<attempt>.<copy or "-">:<tokens released, including this event's>``.

    :param metadata: fields that are the same in all events.
    :param copy: host that holds the copy, ``-`` for none.
    """

    def __init__(self, *, metadata: EventMetadata, copy: str = "-") -> None:
        self._metadata = metadata
        fixed = orjson.dumps(
            {
                "id": metadata.generation_id,
                "object": "chat.completion.chunk" if metadata.chat else "text_completion",
                "created": metadata.created,
                "model": metadata.model,
            }
        )
        self._object_start = fixed[:-1]
        text_start = b'"delta":{"content":' if metadata.chat else b'"text":'
        self._choice_start = b',"choices":[{"index":0,' + text_start
        self._text_end = b"}" if metadata.chat else b""
        self.set_copy_and_attempt(copy, "")

    def set_copy_and_attempt(self, copy: str, attempt: str) -> None:
        """Set the holder of the copy and the attempt for the ids of the following events.

        :param copy: host that holds the copy, ``-`` for none.
        :param attempt: name of the attempt that produced the tokens, empty without tokens.
        """
        metadata = self._metadata
        home = describe_home(metadata.home, attempt)
        self._id_start = f"id: {metadata.generation_id}.{home}.{copy}:".encode()
        self._data_start = b"\ndata: " + self._object_start + b',"offset":'

    def encode_tokens(
        self,
        offset: int,
        text: str,
        token_ids: Sequence[int],
        *,
        finish_reason: str | None = None,
        prompt_token_ids: Sequence[int] | None = None,
        usage: dict[str, Any] | None = None,
    ) -> bytes:
        """Encode an event with tokens.

        :param offset: index of the first token, from 0.
        :param text: text of the tokens.
        :param token_ids: ids of the tokens.
        :param finish_reason: why the output ended, in the last event.
        :param prompt_token_ids: ids of the prompt's tokens, in the first event.
        :param usage: token counts, in the last event.
        """
        parts = [
            self._id_start,
            b"%d" % (offset + len(token_ids)),
            self._data_start,
            b"%d" % offset,
            self._choice_start,
            orjson.dumps(text),
            self._text_end,
        ]
        if self._metadata.with_token_ids:
            parts += (b',"token_ids":', orjson.dumps(token_ids))
        if finish_reason is None:
            parts.append(b',"finish_reason":null}]')
        else:
            parts += (b',"finish_reason":', orjson.dumps(finish_reason), b"}]")
        if prompt_token_ids is not None and self._metadata.with_token_ids:
            parts += (b',"prompt_token_ids":', orjson.dumps(prompt_token_ids))
        if usage is not None:
            parts += (b',"usage":', orjson.dumps(usage))
        parts.append(b"}\n\n")
        return b"".join(parts)

    def encode_role(self) -> bytes:
        """Encode the first event of a chat, which contains the role and no tokens."""
        return b"".join(
            (
                self._id_start,
                b"0",
                self._data_start,
                b'0,"choices":[{"index":0,"delta":{"role":"assistant","content":""},',
                b'"finish_reason":null}]}\n\n',
            )
        )


def encode_error(error: dict[str, Any]) -> bytes:
    """Encode the error event that ends a stream.

    :param error: the OpenAI error object.
    """
    return b"data: " + orjson.dumps({"error": error}) + b"\n\n"
