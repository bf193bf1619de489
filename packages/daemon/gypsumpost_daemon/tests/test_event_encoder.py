"""Tests of the encoding of callers' server-sent events."""

import orjson
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_daemon.engines.engine_event_decoder import decode_event
from gypsumpost_daemon.engines.event_stream_decoder import EventStreamDecoder
from gypsumpost_daemon.generations.event_encoder import (
    DONE,
    EventEncoder,
    EventMetadata,
    encode_error,
)

NAMES = st.text(alphabet=st.characters(codec="utf-8"), max_size=12)


def create_encoder(chat: bool, model: str = "m", with_token_ids: bool = True) -> EventEncoder:
    metadata = EventMetadata(
        generation_id="g1",
        home="h1",
        model=model,
        created=7,
        chat=chat,
        with_token_ids=with_token_ids,
    )
    return EventEncoder(metadata=metadata, copy="h2")


@seed(12)
@settings(max_examples=200, deadline=None, database=None)
@given(
    chat=st.booleans(),
    model=NAMES,
    text=NAMES,
    token_ids=st.lists(st.integers(0, 2**31), max_size=4),
    offset=st.integers(0, 10**6),
    finish_reason=st.sampled_from([None, "stop", "length"]),
)
def test_encoded_event_decodes_to_the_same_tokens(
    chat, model, text, token_ids, offset, finish_reason
):
    """Guards against text or names that break the JSON or the framing of events."""
    encoder = create_encoder(chat, model)
    encoded = encoder.encode_tokens(offset, text, token_ids, finish_reason=finish_reason)
    payloads = EventStreamDecoder().feed(encoded)
    assert len(payloads) == 1
    event = decode_event(payloads[0])
    assert (event.offset, event.text, event.token_ids) == (offset, text, token_ids)
    assert event.finish_reason == finish_reason
    value = orjson.loads(payloads[0])
    assert (value["id"], value["model"], value["created"]) == ("g1", model, 7)
    assert encoded.startswith(b"id: g1.h1.h2:%d\n" % (offset + len(token_ids)))


def test_optional_fields_appear_only_where_they_belong():
    """Guards against token ids for callers that did not request them, and missing token counts."""
    encoder = create_encoder(False, with_token_ids=False)
    plain = encoder.encode_tokens(0, "a", [1], prompt_token_ids=[5])
    assert b"token_ids" not in plain
    last = create_encoder(True).encode_tokens(
        1, "", [], finish_reason="stop", prompt_token_ids=[5], usage={"total_tokens": 2}
    )
    event = decode_event(EventStreamDecoder().feed(last)[0])
    assert (event.prompt_token_ids, event.usage) == ([5], {"total_tokens": 2})


def test_id_names_the_present_holder_of_the_copy():
    """Guards against event ids that name a host which no longer holds the copy."""
    encoder = create_encoder(False)
    encoder.set_copy_and_attempt("-", "")
    assert encoder.encode_tokens(3, "a", [1]).startswith(b"id: g1.h1.-:4\n")


def test_several_events_in_one_write_are_separate_events():
    """Guards against coalesced events that a caller would parse as one."""
    encoder = create_encoder(True)
    events = [encoder.encode_tokens(n, "a", [n]) for n in range(3)]
    joined = encoder.encode_role() + b"".join(events) + encode_error({"code": "x"}) + DONE
    payloads = EventStreamDecoder().feed(joined)
    assert [decode_event(payload).offset for payload in payloads[:4]] == [0, 0, 1, 2]
    assert orjson.loads(payloads[4]) == {"error": {"code": "x"}}
    assert payloads[5] == b"[DONE]"
