"""Tests of the codec of the durable records."""

from result import Ok

from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_daemon.rollouts.record_codec import decode_record, encode_record


def test_a_record_is_read_as_it_was_written() -> None:
    """Guards against a next decider that forgets barred versions or grants the slack again."""
    record = RolloutRecord(
        service="s",
        target_version="2",
        order_revision=7,
        phase=RolloutPhase.RUNNING,
        share=0.08,
        started_at_ms=1_000,
        share_since_ms=2_000,
        deadline_ms=60_000,
        fencing_token=5,
        reason="20 answers",
        spare=20,
        hosts=72,
        barred=("3",),
    )
    assert decode_record(encode_record(record)) == Ok(record)
