"""Tests of the age of what the store has confirmed."""

import math

from gypsumpost_core.gateway.store_confirmation import CONFIRMED_SECONDS, StoreConfirmation


def test_a_host_that_the_store_never_confirmed_refuses_nothing_for_good():
    confirmation = StoreConfirmation()
    assert confirmation.compute_age(5.0) == math.inf
    assert not confirmation.is_recent(5.0)


def test_a_confirmation_ages():
    confirmation = StoreConfirmation()
    confirmation.record(3, 10.0, applied=3)
    assert confirmation.is_recent(10.0 + CONFIRMED_SECONDS / 2)
    assert not confirmation.is_recent(10.1 + CONFIRMED_SECONDS)


def test_an_older_confirmation_that_arrives_later_changes_nothing():
    confirmation = StoreConfirmation()
    confirmation.record(3, 10.0, applied=3)
    confirmation.record(3, 9.0, applied=3)
    assert confirmation.compute_age(11.0) == 1.0


def test_a_confirmation_of_a_newer_version_counts_once_that_version_is_in_force():
    """Guards against a host that takes a peer's word for a version that it does not have."""
    confirmation = StoreConfirmation()
    confirmation.record(4, 10.0, applied=3)
    assert not confirmation.is_recent(10.1)
    confirmation.record(4, 10.2, applied=3)
    confirmation.record_applied(4)
    assert confirmation.compute_age(11.2) == 1.0


def test_a_version_between_does_not_confirm_a_newer_one():
    confirmation = StoreConfirmation()
    confirmation.record(5, 10.0, applied=3)
    confirmation.record_applied(4)
    assert not confirmation.is_recent(10.1)
