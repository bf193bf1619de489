"""Tests of the copy directory."""

from gypsumpost_core.gateway.copy_directory import CopyDirectory
from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.tests.peer_copies import list_peer_copies


def test_copies_of_a_failed_host_expire():
    """Guards against resuming from a copy that its engine has already dropped."""
    directory = CopyDirectory()
    copy = CopyReport(fingerprint=b"f", request_id="r", copy_engine="e1")
    directory.put_peer_reports("host-1", [copy], 1.0)
    assert [known.report for known in list_peer_copies(directory, b"f", 4.0)] == [copy]
    assert list_peer_copies(directory, b"f", 7.0) == []
    directory.put(copy, 1.0)
    assert directory.list_own(1.0) == (copy,)
    directory.drop("r")
    assert directory.list_own(1.0) == ()


def test_equal_requests_have_a_copy_each():
    """Guards against losing the copy of a stream when another one with the same digest ends."""
    directory = CopyDirectory()
    first, second = (
        CopyReport(fingerprint=b"f", request_id=name, copy_engine="e1") for name in ("r1", "r2")
    )
    directory.put(first, 1.0)
    directory.put(second, 1.0)
    directory.drop("r1")
    assert directory.list_own(1.0) == (second,)
    assert directory.is_serving(b"f", "r2") and not directory.is_serving(b"f", "r1")
    directory.put_peer_reports("host-1", [first], 1.0)
    directory.put_peer_reports("host-2", [second], 1.0)
    assert len(list_peer_copies(directory, b"f", 1.0)) == 2


def test_a_copy_that_another_stream_has_continued_is_left_out():
    """Guards against a second prefill when a stream loses two hosts one after the other."""
    directory = CopyDirectory()
    first = CopyReport(fingerprint=b"f", request_id="r1", copy_engine="e1")
    second = CopyReport(fingerprint=b"f", request_id="r2", copy_engine="e1", continues="r1")
    directory.put_peer_reports("host-1", [first], 1.0)
    directory.put_peer_reports("host-2", [second], 1.0)
    assert [known.report for known in list_peer_copies(directory, b"f", 1.0)] == [second]
