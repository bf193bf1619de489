"""Counts and durations measured by a load."""

from collections import Counter

import attrs

from gypsumpost_cli.answer import Answer
from gypsumpost_cli.answer_check import find_answer_error
from gypsumpost_cli.duration_histogram import DurationHistogram

MAX_REPORTED_FAULTS = 20
"""Wrong answers whose fault is reported; all of them are counted."""


@attrs.define(kw_only=True)
class LoadResults:
    """Counts and histograms of a load.

    An answer is whole if it is complete and correct, wrong if it ended without an error but is
    faulty, failed if an error ended it after its first token, and refused if before.
    """

    sent: int = 0
    whole: int = 0
    wrong: int = 0
    failed: int = 0
    tokens: int = 0
    reconnects: int = 0
    gate_sent: int = 0
    gate_done: int = 0
    faults: list[str] = attrs.field(factory=list)
    refusals: Counter[str] = attrs.field(factory=Counter)
    failures: Counter[str] = attrs.field(factory=Counter)
    gate_failures: Counter[str] = attrs.field(factory=Counter)
    whole_by_workspace: Counter[str] = attrs.field(factory=Counter)
    sent_by_workspace: Counter[str] = attrs.field(factory=Counter)
    first_token: DurationHistogram = attrs.field(factory=DurationHistogram)
    gaps: DurationHistogram = attrs.field(factory=DurationHistogram)
    completion: DurationHistogram = attrs.field(factory=DurationHistogram)
    gate: DurationHistogram = attrs.field(factory=DurationHistogram)

    @property
    def refused(self) -> int:
        """Number of generations that ended with an error before their first token."""
        return self.refusals.total()

    @property
    def open(self) -> int:
        """Number of requests that have not ended."""
        generations = self.sent - self.whole - self.wrong - self.failed - self.refused
        return generations + self.gate_sent - self.gate_done - self.gate_failures.total()

    def record_answer(self, workspace: str, answer: Answer, max_tokens: int, now: float) -> None:
        """Record a generation that has ended.

        :param workspace: its workspace.
        :param answer: what the caller received.
        :param max_tokens: ``max_tokens`` of the request.
        :param now: monotonic time in seconds.
        """
        self.reconnects += answer.reconnects
        if answer.error is not None:
            self._record_error(answer)
            return
        error = find_answer_error(answer, max_tokens)
        if error is not None:
            self.wrong += 1
            if len(self.faults) < MAX_REPORTED_FAULTS:
                self.faults.append(f"{answer.request_id}: {error}")
            return
        self.whole += 1
        self.whole_by_workspace[workspace] += 1
        self.tokens += len(answer.token_ids)
        self._record_times(answer, now)

    def record_gate_call(self, failure: str, seconds: float) -> None:
        """Record a gate call that has ended.

        :param failure: code and run state, empty for a success.
        :param seconds: seconds from sending it to its answer.
        """
        if failure:
            self.gate_failures[failure] += 1
        else:
            self.gate_done += 1
            self.gate.record(seconds)

    def _record_error(self, answer: Answer) -> None:
        name = f"{answer.error_code or 'connection_lost'} ({answer.run_state or 'unknown'})"
        if answer.token_ids:
            self.failed += 1
            self.failures[name] += 1
        else:
            self.refusals[name] += 1

    def _record_times(self, answer: Answer, now: float) -> None:
        if answer.time_to_first_token is not None:
            self.first_token.record(answer.time_to_first_token)
        for before, after in zip(answer.arrivals, answer.arrivals[1:], strict=False):
            self.gaps.record(after - before)
        self.completion.record(now - answer.sent_at)
