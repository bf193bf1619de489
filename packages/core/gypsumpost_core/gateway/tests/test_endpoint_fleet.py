"""Tests of which endpoints exist and which are marked lost."""

import pytest

from gypsumpost_core.gateway.tests.endpoint_fixtures import create_fleet, create_record, get_state


def list_ids(fleet):
    return sorted(state.record.endpoint_id for state in fleet)


def test_a_new_start_ends_a_loss():
    """Guards against a restarted endpoint that stays marked lost."""
    fleet = create_fleet(create_record("e1"))
    assert fleet.mark_lost("e1", 1, now=5.0)
    assert not fleet.mark_lost("e1", 1, now=5.1)
    fleet.put(create_record("e1", started_at=2))
    assert not get_state(fleet, "e1").lost


def test_a_loss_of_an_older_start_is_ignored():
    """Guards against a late report about a process that has been replaced."""
    fleet = create_fleet(create_record("e1", started_at=2))
    assert not fleet.mark_lost("e1", 1, now=5.0)
    assert not get_state(fleet, "e1").lost


@pytest.mark.parametrize("newest_first", [True, False])
def test_the_latest_process_owns_the_address(newest_first):
    """Guards against requests to a process whose address is used by a later one."""
    records = [
        create_record("old", address="x:1"),
        create_record("new", address="x:1", started_at=2),
    ]
    fleet = create_fleet(*(reversed(records) if newest_first else records))
    assert list_ids(fleet) == ["new"]


def test_a_replaced_endpoint_does_not_return():
    """Guards against a stale entry that is written again after its endpoint was replaced."""
    record = create_record("e1")
    fleet = create_fleet(record)
    fleet.mark_replaced(record)
    fleet.put(record)
    assert list_ids(fleet) == []
    fleet.put(create_record("e1", started_at=2))
    assert list_ids(fleet) == ["e1"]


def test_a_replaced_endpoint_is_dropped_with_its_entry():
    """Guards against a memory leak with each restart of an endpoint."""
    record = create_record("e1")
    fleet = create_fleet(record)
    fleet.mark_replaced(record)
    fleet.remove("e1")
    fleet.put(record)
    assert list_ids(fleet) == ["e1"]


def test_leaving_endpoints_get_no_new_requests():
    """Guards against new requests to an endpoint that is draining."""
    fleet = create_fleet(create_record("e1", leaving=True), create_record("e2"))
    assert [state.record.endpoint_id for state in fleet.list_service("model")] == ["e2"]
