"""Tests of the decision whether a stream stays with a silent engine."""

from gypsumpost_core.gateway.engine_silence import EngineSilence, compute_check_delay
from gypsumpost_core.gateway.engine_work import EngineWork


def create_silence(seconds, **changes):
    fields = {
        "seconds": seconds,
        "prefilling": True,
        "started": False,
        "prefill_seconds": 1.0,
        "objective": 4.5,
        "has_copy": True,
    }
    return EngineSilence(**(fields | changes))


def create_work(*running, unstarted=0):
    return EngineWork(running=dict.fromkeys(running, 5), unstarted=unstarted)


def test_a_prompt_that_is_worked_on_is_not_sent_to_another_engine():
    """Guards against prompts that are read twice after the loss of a domain.

    In a day of velostation-qc-large, prompts of 19,738 and 11,579 tokens were sent to one engine at
    the same moment; both were cut at the objective and read again elsewhere.
    """
    silence = create_silence(4.6)
    assert not silence.is_abandoned(create_work("r-1", "r-2"), "r-1")
    assert not silence.is_abandoned(create_work("r-2", unstarted=1), "r-1")


def test_an_engine_that_dropped_the_request_is_left_before_the_objective():
    """Guards against a stream that waits for an engine that hangs, until it is late."""
    silence = create_silence(2.1)
    assert silence.report_after == 2.0
    assert silence.is_abandoned(create_work("r-2"), "r-1")


def test_the_question_comes_before_the_objective():
    """Guards against a long prompt for which the engine is asked only when the answer is late."""
    assert create_silence(1.0, prefill_seconds=9.0).report_after == 4.5


def test_a_preempted_stream_goes_on_from_its_copy():
    """Guards against a stream that waits until its prompt is read a second time."""
    waiting = create_work(unstarted=1)
    silence = create_silence(0.5, prefilling=False, started=True)
    assert silence.report_after <= 0.5
    assert silence.is_abandoned(waiting, "r-1")
    without_copy = create_silence(0.5, prefilling=False, started=True, has_copy=False)
    assert not without_copy.is_abandoned(waiting, "r-1")
    resumed = create_silence(0.5, prefilling=False)
    assert not resumed.is_abandoned(waiting, "r-1")


def test_a_slow_stream_that_is_worked_on_is_not_cut():
    """Guards against cutting a sound stream because its engine is slow."""
    slow = create_silence(4.0, prefilling=False, started=True, made_before=5)
    assert not slow.is_abandoned(create_work("r-1"), "r-1")


def test_an_engine_without_a_report_is_left_after_a_limit():
    """Guards against a stream that waits without end for an engine that answers nothing."""
    assert not create_silence(4.4).is_abandoned(None, "r-1")
    assert create_silence(4.6).is_abandoned(None, "r-1")
    assert not create_silence(2.4, prefilling=False).is_abandoned(None, "r-1")
    assert create_silence(2.6, prefilling=False).is_abandoned(None, "r-1")


def test_an_engine_is_checked_after_a_few_usual_pauses():
    """Guards against probes between the events of an engine that is merely slow."""
    assert compute_check_delay(0.1, prefilling=False) == 0.25
    assert compute_check_delay(0.0, prefilling=False) == 0.12


def test_an_engine_that_prefills_is_checked_as_often_as_the_objective_needs():
    """Guards against four checks a second of engines with prompts of 5,000 tokens.

    Where the caller waits for the next event of a stream, the objective allows no longer pause.
    """
    assert compute_check_delay(0.1, prefilling=True, objective=4.0) == 0.5
    assert compute_check_delay(0.1, prefilling=True, objective=1.0) == 0.25
    assert compute_check_delay(0.1, prefilling=True) == 0.25


def test_a_slow_engine_is_checked_early_enough_to_go_on_in_time():
    """Guards against pauses over 0.7 s when a slow engine goes dark.

    Seen on mzrno-torun-grown: the first check came after 0.5 s, and the stream paused for 1.05 s.
    """
    assert compute_check_delay(0.29, prefilling=False) == 0.3


def test_an_engine_whose_events_do_not_arrive_is_left():
    """Guards against a stream that waits for an engine that runs it and sends nothing."""
    work = create_work("r-1")
    silence = create_silence(1.0, prefilling=False, started=True, made_before=4)
    assert silence.is_abandoned(work, "r-1")
    assert not create_silence(1.0, prefilling=False, made_before=5).is_abandoned(work, "r-1")
    assert create_silence(5.1, prefilling=False, made_before=5).is_abandoned(work, "r-1")
