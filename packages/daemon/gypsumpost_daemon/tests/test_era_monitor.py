"""Tests of the judgement of the store's answers by their era."""

import trio
import trio.testing
from result import Err, Ok

from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_daemon.store import era_monitor
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store_failure import StoreFailure


def judge(monitor: EraMonitor, era: int | None) -> bool:
    return isinstance(monitor.judge(Ok(1), None if era is None else StoreEra(era)), Ok)


async def test_two_answers_in_a_row_confirm_an_era() -> None:
    """Guards against a belief in one damaged answer, and against the use of late answers."""
    monitor, sightings = EraMonitor(), []
    monitor.add_sighting_listener(lambda: sightings.append(monitor.era))
    named = [None, 1, 1, 2, 1, None, 2, 2, 1, 2_000_000, 2]
    used = [judge(monitor, era) for era in named]
    assert used == [True, False, True, False, True, True, False, True, False, False, True]
    assert monitor.era == 2
    assert sightings == [0, 1, 1]


async def test_an_answer_of_another_era_tells_whether_the_call_may_have_taken_effect() -> None:
    """Guards against a claim that is taken for not written although the new era holds it."""
    monitor = EraMonitor()
    refused = Err(StoreFailure(reason="status 429", sent=False))
    assert monitor.judge(Ok(1), StoreEra(1)).unwrap_err().sent
    assert not EraMonitor().judge(refused, StoreEra(1)).unwrap_err().sent


async def test_headers_that_cannot_be_read_are_missing_eras(
    autojump_clock: trio.testing.MockClock, monkeypatch
) -> None:
    """Guards against a header that stops a host, and against a line for each answer."""
    lines: list[str] = []
    monkeypatch.setattr(era_monitor.LOG, "write", lambda message, **fields: lines.append(message))
    monitor = EraMonitor()
    for value in (b"", b"-1", b"1.5", b"x" * 9999, b"9" * 12, b"9" * 9999, b"\xb2", b"16777216"):
        assert monitor.read_era([(b"Store-Era", value)]) is None
    assert monitor.read_era([(b"Store-Era", b"1"), (b"store-era", b"2")]) is None
    assert monitor.read_era([(b"Content-Type", b"7")]) is None
    assert monitor.read_era([(b"Store-Era", b" 7 ")]) == 7
    assert lines == ["cannot read the era"]
    await trio.sleep(era_monitor.LOG_SECONDS)
    assert monitor.read_era([(b"Store-Era", b"x")]) is None
    assert len(lines) == 2
