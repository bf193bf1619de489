"""Tests of which era of the store a host believes in."""

import pytest

from gypsumpost_core.gateway.era_belief import MAX_RISE, EraBelief, EraVerdict
from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.gateway.store_position import StorePosition, read_token


@pytest.fixture
def belief() -> EraBelief:
    belief = EraBelief()
    for _ in range(2):
        belief.observe(StoreEra(7))
    return belief


def test_a_higher_era_is_believed_when_two_answers_name_it(belief):
    assert belief.era == 7
    assert belief.observe(StoreEra(8)) is EraVerdict.UNCONFIRMED
    assert belief.era == 7
    assert belief.observe(StoreEra(8)) is EraVerdict.CURRENT
    assert belief.era == 8
    assert belief.observe(StoreEra(7)) is EraVerdict.FORMER


def test_a_single_answer_with_a_wrong_era_changes_nothing(belief):
    """Guards against a damaged header that locks a host out of all later answers."""
    for wrong in (StoreEra(9), StoreEra(3), StoreEra(7 + MAX_RISE + 1)):
        assert belief.observe(wrong) is not EraVerdict.CURRENT
        assert belief.observe(StoreEra(7)) is EraVerdict.CURRENT
        assert belief.era == 7


def test_an_answer_without_an_era_counts_as_current(belief):
    assert belief.observe(None) is EraVerdict.CURRENT
    assert belief.era == 7


def test_a_store_without_eras_is_believed():
    belief = EraBelief()
    assert belief.observe(None) is EraVerdict.CURRENT
    assert belief.era == NO_ERA


def test_an_era_that_rises_too_far_is_never_believed(belief):
    for _ in range(3):
        assert belief.observe(StoreEra(7 + MAX_RISE + 1)) is EraVerdict.UNLIKELY


def test_a_peer_may_name_a_later_era(belief):
    belief.adopt(StoreEra(9))
    belief.adopt(StoreEra(8))
    assert belief.era == 9


def test_tokens_of_later_eras_are_higher():
    """Guards against fencing tokens that fall when revisions are given out again."""
    former, later = (StorePosition(era=StoreEra(era), revision=9 - era) for era in (1, 2))
    assert former.to_token() < later.to_token()
    assert read_token(later.to_token()) == later
    assert StorePosition(revision=77).to_token() == 77
