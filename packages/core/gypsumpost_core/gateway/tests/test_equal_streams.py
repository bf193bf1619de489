"""Tests of the memory of streams whose callers may come back."""

import attrs

from gypsumpost_core.gateway.begun_streams import (
    ANNOUNCE_SECONDS,
    DIGEST_BYTES,
    MAX_ANNOUNCED,
    MEMORY_SECONDS,
    BegunStreams,
)
from gypsumpost_core.gateway.copy_directory import (
    MAX_ID_CHARACTERS,
    MAX_STREAMS,
    SWEEP_SECONDS,
    CopyDirectory,
)
from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.known_stream import may_have_received
from gypsumpost_core.gateway.tests.peer_copies import list_peer_copies

DIGEST = b"digest-of-12"


def create_report(name: str, *, broken: bool = False) -> CopyReport:
    return CopyReport(fingerprint=DIGEST, request_id=name, copy_engine="e1", broken=broken)


def list_names(directory: CopyDirectory, now: float) -> list[str]:
    return [stream.report.request_id for stream in directory.list_known(DIGEST, now)]


def test_a_stream_counts_for_longer_than_its_copy():
    """Guards against the copy of an equal request for a caller that waits before it comes back."""
    directory = CopyDirectory()
    directory.put_peer_reports("host-1", [create_report("r1")], 1.0)
    directory.put_peer_reports("host-2", [create_report("r2")], 20.0)
    assert list_names(directory, 21.0) == ["r1", "r2"]
    assert [s.report.request_id for s in list_peer_copies(directory, DIGEST, 21.0)] == ["r2"]
    assert list_names(directory, 1.0 + MEMORY_SECONDS) == ["r2"]


def test_only_streams_that_are_over_are_forgotten_at_once():
    """Guards against a caller that is lost with its host, or whose stream broke, and is forgotten.

    A restarted host reports none of the streams of its earlier process.
    """
    directory = CopyDirectory()
    reports = [create_report("over"), create_report("broken", broken=True)]
    directory.put_peer_reports("host-1", reports, 1.0, incarnation=1)
    directory.put_peer_reports("host-1", [create_report("lost")], 2.0, incarnation=1)
    assert list_names(directory, 2.0) == ["broken", "lost"]
    directory.put_peer_reports("host-1", [], 3.0, incarnation=2)
    assert list_names(directory, 3.0) == ["broken", "lost"]


def test_a_broken_stream_of_this_host_counts():
    """Guards against the copy of an equal request for a caller that comes back to its host."""
    directory = CopyDirectory(own_id="own", incarnation=5)
    directory.put(create_report("r1"), 1.0)
    directory.put(create_report("r2"), 1.0)
    assert directory.describe(DIGEST, "r1", 5, 1.0).served
    directory.drop_broken("r1", b"7", 2.0)
    directory.drop("r2")
    assert list_names(directory, 2.0) == ["r1"]
    assert directory.list_own(2.0)[0].last_event_id == b"7"
    assert directory.describe(DIGEST, "r1", 5, 2.0).last_event_id == b"7"
    assert directory.describe(DIGEST, "r2", 5, 2.0).over
    assert not directory.describe(DIGEST, "r2", 4, 2.0).over


def test_a_host_is_sure_of_a_stream_only_if_it_has_heard_of_all_others():
    """Guards against the word of a host that has started lately or knows of an equal request."""
    directory = CopyDirectory(own_id="own", remembers_since=1.0)
    directory.put(create_report("r1"), 1.0)
    directory.drop_broken("r1", b"7", 2.0)
    assert not directory.describe(DIGEST, "r1", 0, 2.0).sole
    now = 1.0 + MEMORY_SECONDS
    assert directory.describe(DIGEST, "r1", 0, now).sole
    directory.begun.put_elsewhere("b", [DIGEST[:DIGEST_BYTES]], now)
    assert not directory.describe(DIGEST, "r1", 0, now).sole


def test_a_new_stream_is_announced_for_a_while():
    """Guards against a domain that never hears of a stream, or hears of it for ever."""
    directory = CopyDirectory()
    directory.put(create_report("own"), 1.0)
    directory.put_peer_reports("host-1", [create_report("r1")], 2.0)
    directory.put_peer_reports("host-1", [create_report("r1")], 4.5)
    assert directory.begun.list_announced(4.5) == (DIGEST[:DIGEST_BYTES],)
    assert directory.begun.list_announced(2.1 + ANNOUNCE_SECONDS) == ()


def test_a_stream_of_another_domain_is_remembered_from_its_last_announcement():
    """Guards against a forgotten stream, and against a table that grows without end."""
    begun = BegunStreams()
    first, second = b"11111111", b"22222222"
    begun.put_elsewhere("b", [first, second], 1.0)
    begun.put_elsewhere("b", [first], 3.0)
    assert begun.list_domains(second + b"rest", 1.0 + MEMORY_SECONDS - 0.1)
    begun.put_elsewhere("b", [], 2.0 + MEMORY_SECONDS)
    assert not begun.list_domains(second, 2.0 + MEMORY_SECONDS)
    assert begun.list_domains(first, 2.0 + MEMORY_SECONDS)


def test_the_memory_is_bounded_without_taking_one_stream_for_another():
    """Guards against callers that fill the memory, and against a stream that is sole by that."""
    directory = CopyDirectory()
    for number in range(MAX_STREAMS + 2):
        report = attrs.evolve(create_report(f"r{number}"), fingerprint=b"%08d" % number)
        directory.put(report, number / 1000)
        directory.drop_broken(report.request_id, b"1", number / 1000)
    now = MAX_STREAMS / 1000 + SWEEP_SECONDS
    directory.put_peer_reports("host-1", [create_report("last")], now)
    assert len(directory.list_memory(now).streams) == MAX_STREAMS + 1
    assert not directory.list_known(b"%08d" % 0, now)
    assert directory.begun.list_domains(b"%08d" % 0, now)


def test_long_ids_are_not_kept():
    """Guards against ids of callers and of engines' events that fill the memory and the beacons."""
    directory = CopyDirectory()
    name = "x" * 16000
    directory.put(create_report(name), 1.0)
    directory.drop_broken(name, b"9" * 5000, 1.0)
    (report,) = directory.list_own(1.0)
    assert len(report.request_id) == MAX_ID_CHARACTERS and report.copy_engine == ""
    assert report.broken and report.last_event_id == b""


def test_announcements_fit_into_a_datagram():
    """Guards against a crowd of callers that stops the beacons between domains."""
    begun = BegunStreams()
    for number in range(MAX_ANNOUNCED + 10):
        begun.announce(b"%08d" % number, 1.0)
    announced = begun.list_announced(1.0)
    assert len(announced) == MAX_ANNOUNCED and announced[0] == b"%08d" % (MAX_ANNOUNCED + 9)


def test_only_numbers_tell_which_events_a_caller_has_received():
    """Guards against a caller that is turned away because engines name events otherwise."""
    assert may_have_received(b"38", b"38") and may_have_received(b"9", b"10")
    assert not may_have_received(b"44", b"38")
    assert may_have_received(b"44", b"") and may_have_received(b"x", b"38")
