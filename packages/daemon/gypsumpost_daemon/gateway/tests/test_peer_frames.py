"""Fuzzing of the messages about crashes that hosts exchange."""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.beacon_codec import decode_beacon, encode_beacon
from gypsumpost_daemon.suspicion.quarantine_codec import decode_quarantine, encode_quarantine
from gypsumpost_daemon.suspicion.quarantine_message import QuarantineMessage

CASES = 300
CRASH = CrashReport(
    suspect=CrashSuspect(fingerprint=b"f" * 12, parts=(b"p" * 8, b"q" * 8)),
    process=EndpointStart(endpoint_id="e", started_at=1),
    failure_domain="a",
    age_seconds=1.0,
)
BEACON = encode_beacon(
    Beacon(
        host=HostReport(
            host_id="h", failure_domain="a", link_mbps=1, watching=True, store_lost=False
        ),
        ip="127.0.0.1",
        sequence=1,
        version=1,
        endpoint_revision=1,
        uses={},
        retries={},
        crashes=(CRASH,) * 3,
    )
)
QUARANTINE = encode_quarantine(QuarantineMessage(crashes=(CRASH,) * 3))


def damage(frame: bytes, edits: list[tuple[int, int]], length: int) -> bytes:
    """Return a frame with some bytes replaced, cut off at a length."""
    damaged = bytearray(frame)
    for position, value in edits:
        damaged[position % len(damaged)] = value
    return bytes(damaged[: length % (len(damaged) + 1)])


EDITS = st.lists(st.tuples(st.integers(0, 4096), st.integers(0, 255)), max_size=8)


@settings(max_examples=CASES, deadline=None)
@given(edits=EDITS, length=st.integers(0, 4096), noise=st.binary(max_size=200))
def test_a_damaged_frame_is_a_value_and_no_exception(
    edits: list[tuple[int, int]], length: int, noise: bytes
) -> None:
    """Guards against a process that stops because a peer's message is malformed."""
    for decode, frame in ((decode_beacon, BEACON), (decode_quarantine, QUARANTINE)):
        for data in (damage(frame, edits, length), noise):
            outcome = decode(data)
            assert isinstance(outcome, Ok) or isinstance(outcome.err_value, str)
