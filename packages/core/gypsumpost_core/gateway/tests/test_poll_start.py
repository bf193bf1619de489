"""Tests of the revision after which polls ask for changes."""

from gypsumpost_core.gateway.poll_start import OVERLAP_SECONDS, PollStart
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.store_position import StorePosition

FIRST = StorePosition(era=StoreEra(1), revision=10)


def test_polls_ask_again_for_what_an_empty_answer_has_covered():
    """Guards against a change that no later poll brings."""
    start = PollStart()
    assert start.advance(FIRST, 20, 0.0) == 10
    assert start.advance(FIRST, 30, OVERLAP_SECONDS - 0.1) == 10


def test_the_start_follows_the_store():
    """Guards against a start that the history of the store does not reach any more."""
    start = PollStart()
    position, now = FIRST, 0.0
    for step in range(1, 100):
        now += 1.0
        revision = start.advance(position, 10 + step, now)
        position = StorePosition(era=FIRST.era, revision=revision)
    assert revision >= 10 + 99 - 2 * OVERLAP_SECONDS - 1


def test_answers_before_a_change_or_of_another_era_do_not_count():
    """Guards against a start that goes back, or that skips changes of another era."""
    start = PollStart()
    start.advance(FIRST, 20, 0.0)
    later = StorePosition(era=FIRST.era, revision=25)
    assert start.advance(later, 30, OVERLAP_SECONDS) == 25
    other = StorePosition(era=StoreEra(2), revision=5)
    assert start.advance(other, 6, 3 * OVERLAP_SECONDS) == 5
