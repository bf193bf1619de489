"""Tests of parsing and formatting event ids."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_core.generations.event_id import NO_HOST, EventId, parse_event_id

HOSTS = st.from_regex(r"[A-Za-z0-9-]{1,63}", fullmatch=True)
EVENT_IDS = st.builds(
    EventId,
    generation_id=st.from_regex(r"[A-Za-z0-9]{8,64}", fullmatch=True),
    home=HOSTS,
    copy=HOSTS | st.just(NO_HOST),
    offset=st.integers(0, 999_999_999),
)


@seed(1)
@settings(deadline=None)
@given(event_id=EVENT_IDS)
def test_id_survives_the_round_trip(event_id: EventId) -> None:
    """Guards against ids that parse to another generation, host or offset."""
    assert parse_event_id(str(event_id)) == event_id
    resumed = parse_event_id(event_id.resume_id)
    assert resumed is not None
    assert (resumed.resume_id, resumed.offset) == (event_id.resume_id, 0)


@seed(2)
@settings(deadline=None)
@given(text=st.text(alphabet="aZ09-.:\n \u0663é", max_size=40))
def test_any_other_text_is_no_id(text: str) -> None:
    """Guards against two spellings of the same id and against exceptions for forged ids."""
    event_id = parse_event_id(text)
    if event_id is not None:
        assert str(event_id) == (text if ":" in text else f"{text}:0")


@pytest.mark.parametrize(
    "text",
    [
        "",
        "generation1",
        "generation1.home",
        "short.home.copy:1",
        "generation1.home.copy:",
        "generation1.home.copy:-1",
        "generation1.home.copy:1:2",
        "generation1.home.copy:1\n",
        "generation1.home.copy:\u0661",
        "generation1.home.copy:01",
        "generation1.home..copy:1",
        "generation1.ho/me.copy:1",
        "generation1.home.copy:1234567890",
    ],
)
def test_invalid_id_is_refused(text: str) -> None:
    """Guards against accepting invalid ids as ids of another event."""
    assert parse_event_id(text) is None
