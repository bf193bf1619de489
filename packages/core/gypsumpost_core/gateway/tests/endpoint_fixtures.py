"""Helpers that create endpoint records and fleets."""

from typing import Any

from gypsumpost_core.gateway.endpoint_fleet import EndpointFleet
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.engine_limits import EngineLimits

LIMITS = EngineLimits(slots=8, memory_tokens=50_000, supports_copies=True)


def create_record(endpoint_id: str, failure_domain: str = "a", **changes: Any) -> EndpointRecord:
    """Return an endpoint record with default values for the fields not given."""
    fields: dict[str, Any] = {
        "endpoint_id": endpoint_id,
        "service": "model",
        "address": f"{endpoint_id}:1",
        "failure_domain": failure_domain,
        "slots": 8,
        "leaving": False,
        "started_at": 1,
    }
    return EndpointRecord(**(fields | changes))


def create_fleet(*records: EndpointRecord) -> EndpointFleet:
    """Return a fleet with one endpoint for each record."""
    fleet = EndpointFleet()
    for record in records:
        fleet.put(record)
    return fleet


def get_state(fleet: EndpointFleet, endpoint_id: str) -> EndpointState:
    """Return the state of an endpoint, which must exist."""
    state = fleet.find(endpoint_id)
    assert state is not None
    return state
