"""Formats the state of a deployment as text."""

from collections.abc import Mapping, Sequence
from typing import Any

from gypsumpost_cli.endpoint_text import describe_endpoint

ALIVE = "alive"


def format_status(
    status: Mapping[str, Any], hosts: Mapping[str, Any], endpoints: Sequence[Mapping[str, Any]]
) -> str:
    """Return hosts by failure domain, unreachable components and endpoints without new work.

    :param status: reply of the administration interface to ``status``.
    :param hosts: its reply to ``hosts``.
    :param endpoints: the rows of its reply to ``endpoints``.
    """
    lists, rows = status["lists"], hosts["hosts"]
    lines = [f"as {hosts['seen_by']} sees it: revision {lists['revision']} is in force there"]
    lines += _list_warnings(lists, rows)
    for domain in sorted({row["failure_domain"] for row in rows}):
        lines.append(_format_domain(domain, rows, endpoints, lists["revision"]))
    leaving = [row for row in endpoints if row["leaving"]]
    lines.append(f"endpoints: {len(endpoints)}, of which {len(leaving)} receive no new work")
    notable = [row for row in endpoints if row["leaving"] or row["limit"] is not None]
    lines += [f"  {describe_endpoint(row)}" for row in notable]
    return "\n".join(lines)


def _list_warnings(lists: Mapping[str, Any], rows: Sequence[Mapping[str, Any]]) -> list[str]:
    warnings = []
    if lists["cut_off"]:
        warnings.append("CUT OFF FROM THE STORE: newer revisions may exist that are not seen here")
    for domain in sorted({row["failure_domain"] for row in rows}):
        domain_rows = [row for row in rows if row["failure_domain"] == domain]
        # Membership detects a silent domain after some seconds; a missing answer shows it at once.
        if not any(row["state"] == ALIVE and row["revision"] is not None for row in domain_rows):
            warnings.append(f"CUT OFF: no host of {domain} is reached")
    return warnings


def _format_domain(
    domain: str,
    rows: Sequence[Mapping[str, Any]],
    endpoints: Sequence[Mapping[str, Any]],
    revision: int,
) -> str:
    domain_rows = [row for row in rows if row["failure_domain"] == domain]
    alive = sum(row["state"] == ALIVE for row in domain_rows)
    count = sum(row["failure_domain"] == domain for row in endpoints)
    lines = [f"{domain}: {alive} of {len(domain_rows)} hosts alive, {count} endpoints"]
    lines += [
        f"  {row['host_id']:16} {row['state']:12} {_format_revision(row, revision)}"
        for row in domain_rows
    ]
    return "\n".join(lines)


def _format_revision(row: Mapping[str, Any], revision: int) -> str:
    if row["revision"] is None:
        return "no answer"
    suffix = "" if row["revision"] == revision else " (differs)"
    return f"revision {row['revision']}{suffix}"
