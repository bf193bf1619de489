"""Tests of the memory of unfinished answers."""

import pytest

from gypsumpost_daemon.engines.answer_memory import (
    FREE_BYTES,
    MAX_TOTAL_BYTES,
    AnswerMemory,
    AnswerTooLongError,
)


def test_the_longest_answer_is_given_up():
    """Guards against a sound answer that fails because others have used up the memory."""
    memory = AnswerMemory()
    with memory.open_share() as sound:
        with memory.open_share() as endless:
            endless.resize(MAX_TOTAL_BYTES)
            sound.resize(FREE_BYTES)
            sound.resize(MAX_TOTAL_BYTES // 2)
            with pytest.raises(AnswerTooLongError):
                endless.resize(MAX_TOTAL_BYTES + 1)
        assert memory.total == MAX_TOTAL_BYTES // 2
        sound.resize(MAX_TOTAL_BYTES)
        sound.resize(0)
    assert memory.total == 0


def test_short_answers_are_never_given_up():
    """Guards against refusing the usual answers under load."""
    memory = AnswerMemory()
    with memory.open_share() as other, memory.open_share() as short:
        other.resize(FREE_BYTES)
        short.memory.total = MAX_TOTAL_BYTES
        short.resize(FREE_BYTES)
