"""Events of a soak run, which are checked after its end."""

from pathlib import Path
from typing import Any

import attrs
import orjson

from gypsumpost_bench.answer_event import AnswerEvent
from gypsumpost_bench.charge_event import ChargeEvent
from gypsumpost_bench.edit_event import EditEvent
from gypsumpost_bench.fault_event import FaultEvent
from gypsumpost_bench.process_event import ProcessEvent
from gypsumpost_bench.refusal_event import RefusalEvent
from gypsumpost_bench.revision_event import RevisionEvent


@attrs.define(kw_only=True)
class History:
    """All events of one run; times are seconds of the trio clock.

    :param engines: number of engines.
    :param answers: answers and failures that callers received.
    :param refusals: answers to requests that have to be refused.
    :param charges: gate charges.
    :param edits: edits of the lists.
    :param faults: faults that were injected.
    :param ends: ends of processes.
    :param revisions: revisions that daemons reported.
    :param executions: call ids, one for each execution by a service.
    """

    engines: int = 0
    answers: list[AnswerEvent] = attrs.field(factory=list)
    refusals: list[RefusalEvent] = attrs.field(factory=list)
    charges: list[ChargeEvent] = attrs.field(factory=list)
    edits: list[EditEvent] = attrs.field(factory=list)
    faults: list[FaultEvent] = attrs.field(factory=list)
    ends: list[ProcessEvent] = attrs.field(factory=list)
    revisions: list[RevisionEvent] = attrs.field(factory=list)
    executions: list[str] = attrs.field(factory=list)

    def write(self, path: Path) -> None:
        """Write the history as JSON.

        :param path: the file.
        """
        path.write_bytes(orjson.dumps(self, default=_encode, option=orjson.OPT_INDENT_2))


def _encode(value: Any) -> Any:
    if attrs.has(type(value)):
        return {field.name: getattr(value, field.name) for field in attrs.fields(type(value))}
    raise TypeError(type(value).__name__)
