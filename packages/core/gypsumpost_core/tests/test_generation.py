"""Tests of the state machine of a generation."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.generations.generation import Generation
from gypsumpost_core.generations.stop_matcher import StopMatcher
from gypsumpost_core.generations.token_batch import TokenBatch
from gypsumpost_core.tests.generation_model import (
    ENGINE,
    MODEL,
    Answer,
    GenerationModel,
    create_answer,
)

ALPHABET = "abé𝄞"
TEXTS = st.text(ALPHABET, min_size=1, max_size=24)
STOPS = st.lists(st.text(ALPHABET, min_size=1, max_size=3), max_size=3).map(tuple)
SMALL = st.integers(0, 8)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("deliver"), st.integers(1, 6)),
        st.tuples(st.just("show"), st.integers(1, 4)),
        st.tuples(st.just("show"), st.integers(1, 2)),
        st.tuples(st.just("deliver_stale"), SMALL, SMALL),
        st.tuples(st.just("deliver_misplaced"), SMALL),
        st.tuples(st.sampled_from(["begin", "resume", "save_copy", "read", "take_over"])),
    ),
    max_size=40,
)


def find_answer_end(text: str, stop: tuple[str, ...]) -> int:
    """Return the start of the stop sequence that ends first, or the length of the text."""
    found = [(text.find(s) + len(s), text.find(s)) for s in stop if s in text]
    return min(found)[1] if found else len(text)


def check_released(model: GenerationModel, answers: list[Answer], whole: bool) -> None:
    released = [token for piece in model.released for token in piece.token_ids]
    text = "".join(piece.text for piece in model.released)
    length = 0
    for piece in model.released:
        assert piece.start == length
        length = piece.end
    if not released and not whole:
        return
    current = model.record.list_token_ids() or released
    possible = [a for a in answers if list(a.token_ids[: len(current)]) == current]
    expected = [a.read_text(0, len(a.token_ids)) for a in possible]
    expected = [t[: find_answer_end(t, model.record.stop)] for t in expected]
    assert list(possible[0].token_ids[: len(released)]) == released
    assert text in expected if whole else any(t.startswith(text) for t in expected)


@seed(1)
@settings(max_examples=600, deadline=None)
@given(texts=st.lists(TEXTS, min_size=2, max_size=3), split=st.booleans(), stop=STOPS, steps=STEPS)
def test_reader_is_shown_one_whole_prefix(texts, split, stop, steps):
    """Guards against missing, repeated or foreign tokens after failures."""
    answers = [create_answer(number, text, split) for number, text in enumerate(texts)]
    model = GenerationModel(answers, stop)
    for name, *arguments in steps:
        getattr(model, name)(*arguments)
        check_released(model, answers, whole=False)
    model.finish()
    check_released(model, answers, whole=True)


@pytest.mark.parametrize("text", ["abcd", "abababc", "aabcab", "xabcd"])
@pytest.mark.parametrize("stop", [("bcd", "c"), ("c", "abc"), ("abd", "ab", "cab")])
def test_match_does_not_depend_on_the_split(text, stop):
    """Guards against answers that end at another position when a stream is resumed."""
    for cut in range(len(text)):
        matcher = StopMatcher(stop=stop)
        match = matcher.feed(text[:cut])
        if match is None:
            match = matcher.feed(text[cut:])
        assert (len(text) if match is None else match) == find_answer_end(text, stop)


def test_output_is_released_after_it_is_committed():
    """Guards against releasing output that no copy holds."""
    model = GenerationModel([create_answer(1, "abc", split=False)], ())
    model.show(1)
    model.deliver(1)
    model.read()
    assert [piece.end for piece in model.released] == [1]


def test_no_part_of_a_possible_stop_sequence_is_released():
    """Guards against releasing text that a stop sequence later cuts off."""
    model = GenerationModel([create_answer(1, "xab", split=False)], ("abc",))
    for expected in ("x", "x", "xab"):
        model.show(1)
        assert "".join(piece.text for piece in model.released) == expected


class AcceptsOlderAttempts(Generation):
    """Faulty generation that accepts output of earlier attempts."""

    def _is_stale(self, batch: TokenBatch) -> bool:
        return self.finished


class AcceptsAnyOffset(Generation):
    """Faulty generation that accepts output at any offset."""

    def _has_expected_offset(self, batch: TokenBatch) -> bool:
        return True


@pytest.mark.parametrize(
    ("policy", "attempt", "offset", "invariant"),
    [
        (AcceptsOlderAttempts, 1, 0, "one-generation"),
        (AcceptsAnyOffset, 2, 1, "whole-answer"),
    ],
)
def test_faulty_generation_violates_an_invariant(policy, attempt, offset, invariant):
    """Guards against invariants that are declared but not checked."""
    record = GenerationModel([create_answer(1, "ab", split=False)], ()).record
    generation = policy(record=record)
    generation.begin_attempt(ENGINE, MODEL)
    batch = TokenBatch(
        attempt=attempt, offset=offset, token_ids=(1,), text="a", prompt_token_ids=(1,)
    )
    with pytest.raises(BrokenInvariant, match=invariant):
        generation.accept(batch)
