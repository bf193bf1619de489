"""Formats endpoints as text."""

from collections.abc import Mapping, Sequence
from typing import Any


def format_endpoints(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return a line for each endpoint.

    :param rows: the endpoints, as returned by the administration interface.
    """
    return "\n".join(map(describe_endpoint, rows)) or "no endpoints"


def describe_endpoint(row: Mapping[str, Any]) -> str:
    """Return one line for an endpoint.

    :param row: the endpoint, as returned by the administration interface.
    """
    serves = row["serves"] if isinstance(row["serves"], str) else ", ".join(row["serves"])
    state = _describe_state(row)
    return f"{row['name']:16} {row['kind']:8} {row['failure_domain']:10} {state:36} {serves}"


def _describe_limit(limit: Mapping[str, Any]) -> str:
    per_second, seconds = limit["per_second"], limit["for_seconds"]
    return f"takes {per_second:g}/s, for {seconds:g} s, by {limit['source']}"


def _describe_state(row: Mapping[str, Any]) -> str:
    if not row["leaving"]:
        return "in use" if row["limit"] is None else _describe_limit(row["limit"])
    cause = "stopped" if row["stopped"] else "leaving"
    request_count = row["work"]
    if request_count is None:
        return f"{cause}, does not answer"
    return (
        f"{cause}, empty" if request_count == 0 else f"{cause}, {request_count} requests in flight"
    )
