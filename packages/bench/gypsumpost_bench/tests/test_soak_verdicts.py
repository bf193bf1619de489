"""Tests of the checks of a soak run's history."""

from gypsumpost_bench.answer_event import AnswerEvent
from gypsumpost_bench.caller_kind import CallerKind
from gypsumpost_bench.charge_event import ChargeEvent, ChargeReply
from gypsumpost_bench.fault_event import FaultEvent
from gypsumpost_bench.fault_kind import FaultKind
from gypsumpost_bench.history import History
from gypsumpost_bench.process_event import ProcessEvent
from gypsumpost_bench.refusal_event import RefusalEvent
from gypsumpost_bench.revision_event import RevisionEvent
from gypsumpost_bench.soak_verdicts import check_history
from gypsumpost_cli.answer import Answer
from gypsumpost_cli.connection import Connection, ConnectionEnd
from gypsumpost_cli.token_chain import TokenChain
from gypsumpost_cli.vocabulary import decode_tokens

PROMPT = [5, 1]


def create_answer(seeds: tuple[int, int]) -> Answer:
    """Return an answer with three tokens of the first seed's chain and the rest of the second's."""
    tokens: list[list[int]] = []
    for seed in seeds:
        chain, output = TokenChain(prompt=PROMPT, seed=seed), []
        for _ in range(6):
            output.append(chain.compute_next())
            chain.feed(output[-1])
        tokens.append(output)
    mixed = tokens[0][:3] + tokens[1][3:]
    return Answer(
        request_id="r",
        sent_at=0.0,
        prompt_token_ids=PROMPT,
        token_ids=mixed,
        text=decode_tokens(mixed),
        finish_reason="length",
        arrivals=[1.0, 1.1],
    )


def create_event(answer: Answer) -> AnswerEvent:
    return AnswerEvent(
        kind=CallerKind.STREAM, prompt_token_ids=PROMPT, max_tokens=6, answer=answer, ended_at=2.0
    )


def find_failed(history: History) -> list[str]:
    verdicts = check_history(history, {"d1-host1": "a"})
    return [name for name, findings in verdicts.items() if findings]


def test_whole_history_passes_and_a_mixed_answer_does_not() -> None:
    """Guards against a check that accepts an answer mixed from two generations."""
    assert find_failed(History(answers=[create_event(create_answer((1, 1)))])) == []
    mixed = History(answers=[create_event(create_answer((1, 2)))])
    assert find_failed(mixed) == ["whole and own answers"]


def test_stall_counts_unless_no_engine_served() -> None:
    """Guards against undetected stalls, and against findings when all engines are faulty."""
    answer = create_answer((1, 1))
    answer.arrivals = [1.0, 5.0]
    history = History(engines=1, answers=[create_event(answer)])
    assert find_failed(history) == ["no stall"]
    kill = FaultKind.ENGINE_KILL
    history.faults.append(FaultEvent(kind=kill, target="e", started_at=2, ended_at=4))
    assert find_failed(history) == []


def test_repeated_and_misreported_charges_are_found() -> None:
    """Guards against checks that accept a double charge or a false run state."""
    reply = ChargeReply(started_at=0, ended_at=1, run_state="run")
    refused = ChargeReply(started_at=2, ended_at=3, run_state="not_run")
    for replies, executions in (([reply], 2), ([reply, refused], 1), ([refused], 1), ([reply], 0)):
        charge = ChargeEvent(call_id="c", issued=False, replies=replies)
        history = History(charges=[charge], executions=["c"] * executions)
        assert find_failed(history) == ["charges at most once, told truly"]


def test_lower_revision_is_found_within_one_incarnation_only() -> None:
    """Guards against an undetected revert, and against a restart that is reported as one."""
    reports = [RevisionEvent(host_id="h", incarnation=i, revision=r) for i, r in ((1, 5), (2, 3))]
    assert find_failed(History(revisions=reports)) == []
    reports.append(RevisionEvent(host_id="h", incarnation=2, revision=2))
    assert find_failed(History(revisions=reports)) == ["revisions never go back"]


def test_daemon_that_ends_by_itself_and_cut_connections_are_found() -> None:
    """Guards against undetected crashes and undetected broken connections."""
    end = ProcessEvent(name="d1-host1", incarnation=1, at=1, status=70, killed=False, output="")
    assert find_failed(History(ends=[end])) == ["daemons end as asked"]
    answer = create_answer((1, 1))
    lost = Connection(address="a", opened_at=0, ended_at=3, end=ConnectionEnd.LOST)
    answer.connections.append(lost)
    stop = FaultEvent(kind=FaultKind.DAEMON_STOP, target="d1-host1", started_at=1, ended_at=4)
    history = History(answers=[create_event(answer)], faults=[stop])
    assert find_failed(history) == ["planned stops cut off nothing"]


def test_only_a_restarted_daemon_may_say_that_it_has_no_lists() -> None:
    """Guards against a check that takes any 503 for a refusal of a bad request."""

    def find_refused(code: str, at: float) -> list[str]:
        refusal = RefusalEvent(
            name="bad", address="a", at=at, status=503, code=code, run_state="not_run"
        )
        end = ProcessEvent(
            name="d1-host1", incarnation=1, at=2.0, status=-9, killed=True, output=""
        )
        return find_failed(History(refusals=[refusal], ends=[end]))

    assert find_refused("lists_unknown", at=3.0) == []
    assert find_refused("lists_unknown", at=1.0) == ["bad requests are refused"]
    assert find_refused("overloaded", at=3.0) == ["bad requests are refused"]


def test_a_stopped_daemon_has_to_say_that_it_has_stopped() -> None:
    """Guards against a signal that ends a daemon in the middle of its planned stop."""

    def find_ended(last_message: str, killed: bool) -> list[str]:
        end = ProcessEvent(
            name="d1-host1",
            incarnation=1,
            at=2.0,
            status=0,
            killed=killed,
            output="",
            last_message=last_message,
        )
        return find_failed(History(ends=[end]))

    assert find_ended("daemon: stopped", killed=False) == []
    assert find_ended("daemon: stopping", killed=True) == []
    assert find_ended("daemon: stopping", killed=False) == ["daemons end as asked"]
