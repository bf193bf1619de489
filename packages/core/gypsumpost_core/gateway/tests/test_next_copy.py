"""Tests of the choice of the copy from which a stream is resumed."""

import attrs

from gypsumpost_core.gateway.next_copy import FailedAttempt, NextCopy, choose_next_copy

LOST = FailedAttempt(
    may_have_run=True,
    engine_lost=True,
    from_copy=False,
    copy_retried=False,
    made_progress=True,
    started=True,
)


def test_the_newest_copy_is_used_after_an_engine_loss():
    """Guards against a second prefill although a copy exists."""
    assert choose_next_copy(LOST) is NextCopy.NEWEST
    assert choose_next_copy(attrs.evolve(LOST, from_copy=True)) is NextCopy.NEWEST


def test_there_is_no_copy_before_the_first_event():
    """Guards against repeated attempts to resume from a copy that does not exist yet."""
    attempt = attrs.evolve(LOST, made_progress=False, started=False)
    assert choose_next_copy(attempt) is NextCopy.NONE


def test_a_holder_that_fails_is_retried_once():
    """Guards against giving up a usable copy, and against asking its holder forever."""
    attempt = attrs.evolve(LOST, engine_lost=False, from_copy=True, made_progress=False)
    assert choose_next_copy(attempt) is NextCopy.SAME
    assert choose_next_copy(attrs.evolve(attempt, copy_retried=True)) is NextCopy.NONE


def test_a_refusal_drops_the_copy_of_its_holder_only():
    """Guards against asking a holder without the copy again, and against dropping another copy."""
    refused = attrs.evolve(LOST, may_have_run=False, engine_lost=False, made_progress=False)
    assert choose_next_copy(attrs.evolve(refused, from_copy=True)) is NextCopy.NONE
    assert choose_next_copy(refused) is NextCopy.SAME
