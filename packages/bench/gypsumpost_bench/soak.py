"""Randomised runs under faults: ``python -m gypsumpost_bench.soak --seed N --minutes M``."""

import argparse
import sys
from collections import Counter
from pathlib import Path

import trio

from gypsumpost_bench.caller_kind import CallerKind
from gypsumpost_bench.history import History
from gypsumpost_bench.soak_plan import create_soak_plan
from gypsumpost_bench.soak_run import SoakRun

MAX_SHOWN = 5
"""Maximum number of findings printed for each check; the history has all events."""


def main() -> int:
    """Run a soak test and print the counts of its events and the verdicts.

    :returns: exit status, 0 if all checks passed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--without-crash-requests", action="store_true")
    arguments = parser.parse_args()
    crashes = not arguments.without_crash_requests
    run = SoakRun(plan=create_soak_plan(arguments.seed, arguments.minutes * 60, crashes))
    output = Path("build/soak") / str(arguments.seed)
    passed = trio.run(run.run, output)
    print(f"seed {arguments.seed}, {arguments.minutes} minutes")
    print_counts(run.history)
    print_verdicts(run.verdicts)
    if not passed:
        print(f"history and logs: {output}")
    return 0 if passed else 1


def print_counts(history: History) -> None:
    """Print how many events of each kind there were.

    :param history: events of the run.
    """
    answers = history.answers
    print_counter("requests", Counter(event.kind.value for event in answers))
    failures = Counter(event.answer.error for event in answers if event.answer.error)
    whole = sum(event.answer.error is None for event in answers)
    print_counter("answers", Counter({"whole": whole}) + failures)
    print_counter("refusals", Counter(f"{r.name} {r.status}" for r in history.refusals))
    replies = Counter(
        f"{r.run_state} {r.code}".strip() for charge in history.charges for r in charge.replies
    )
    print_counter(f"{len(history.charges)} charges", replies)
    print_counter("edits", Counter(edit.outcome for edit in history.edits))
    print_counter("faults", Counter(fault.kind.value for fault in history.faults))
    gaps = [e.answer.longest_gap for e in answers if e.kind is CallerKind.STREAM]
    waits = [e.answer.time_to_first_token or 0.0 for e in answers if e.kind is CallerKind.STREAM]
    print(f"longest stall {max(gaps, default=0):.2f} s, ", end="")
    print(f"longest wait for the first token {max(waits, default=0):.2f} s")


def print_counter(name: str, counter: Counter[str]) -> None:
    """Print one line of counts.

    :param name: what was counted.
    :param counter: the counts.
    """
    rows = ", ".join(f"{count} {kind}" for kind, count in counter.most_common())
    print(f"{name}: {rows or 'none'}")


def print_verdicts(verdicts: dict[str, list[str]]) -> None:
    """Print the verdict of each check.

    :param verdicts: findings by name of the check.
    """
    for name, findings in verdicts.items():
        print(f"{name}: {f'{len(findings)} FAILED' if findings else 'ok'}")
        for finding in findings[:MAX_SHOWN]:
            print(f"  {finding}")


if __name__ == "__main__":
    sys.exit(main())
