"""Formats the results of a load as JSON and as text."""

from collections.abc import Mapping
from typing import Any

from gypsumpost_cli.load_results import LoadResults

MILLISECONDS_PER_SECOND = 1000


def describe_progress(results: LoadResults, seconds: float) -> str:
    """Return one line about the progress of a load.

    :param results: the results so far.
    :param seconds: seconds since its start.
    """
    return (
        f"{seconds:6.0f} s  sent {results.sent}  open {results.open}  whole {results.whole}  "
        f"wrong {results.wrong}  failed {results.failed}  refused {results.refused}  "
        f"gate calls {results.gate_done}/{results.gate_sent}"
    )


def describe_results(results: LoadResults, seconds: float) -> dict[str, Any]:
    """Return the results as JSON values; durations are in seconds.

    :param results: the results.
    :param seconds: seconds from the start of the load to its end.
    """
    return {
        "seconds": round(seconds, 3),
        "generations": {
            "sent": results.sent,
            "whole": results.whole,
            "wrong": results.wrong,
            "failed": results.failed,
            "refused": results.refused,
            "reconnects": results.reconnects,
            "tokens": results.tokens,
            "tokens_per_second": round(results.tokens / seconds, 1) if seconds else 0.0,
            "failures": dict(results.failures),
            "refusals": dict(results.refusals),
            "faults": results.faults,
        },
        "first_token_seconds": results.first_token.summarize(),
        "gap_seconds": results.gaps.summarize(),
        "completion_seconds": results.completion.summarize(),
        "gate_calls": {
            "sent": results.gate_sent,
            "done": results.gate_done,
            "failures": dict(results.gate_failures),
        },
        "gate_seconds": results.gate.summarize(),
        "unfinished": results.open,
        "workspaces": {
            name: {"sent": sent, "whole": results.whole_by_workspace[name]}
            for name, sent in sorted(results.sent_by_workspace.items())
        },
    }


def format_results(report: Mapping[str, Any]) -> str:
    """Return the results as text.

    :param report: the results as JSON values.
    """
    generations, calls = report["generations"], report["gate_calls"]
    counts = ("sent", "whole", "wrong", "failed", "refused", "reconnects", "tokens")
    lines = ["generations  " + "  ".join(f"{name} {generations[name]}" for name in counts)]
    lines += [f"  refused: {name} {n}" for name, n in sorted(generations["refusals"].items())]
    lines += [f"  failed: {name} {n}" for name, n in sorted(generations["failures"].items())]
    lines += [f"  wrong: {fault}" for fault in generations["faults"]]
    for name in ("first_token", "gap", "completion"):
        lines.append(_format_durations(name.replace("_", " "), report[f"{name}_seconds"]))
    if calls["sent"]:
        lines.append(f"gate calls   sent {calls['sent']}  done {calls['done']}")
        lines += [f"  failed: {name} {n}" for name, n in sorted(calls["failures"].items())]
        lines.append(_format_durations("gate call", report["gate_seconds"]))
    for name, workspace_counts in report["workspaces"].items():
        lines.append(
            f"workspace {name}  sent {workspace_counts['sent']}  whole {workspace_counts['whole']}"
        )
    lines.append(f"unfinished {report['unfinished']}  after {report['seconds']} s")
    return "\n".join(lines)


def _format_durations(name: str, summary: Mapping[str, float]) -> str:
    values = [
        f"{key} {value * MILLISECONDS_PER_SECOND:.1f} ms"
        for key, value in summary.items()
        if key != "count"
    ]
    return f"{name:12} " + "  ".join([*values, f"of {summary['count']}"])
