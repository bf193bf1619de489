"""Tests of what a host stores again after a restore of the store."""

import pytest

from gypsumpost_core.calls.claim_outcome import ClaimOutcome
from gypsumpost_core.calls.claim_record import ClaimRecord
from gypsumpost_core.gateway.store_era import MAX_ERA, NO_ERA, StoreEra
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.calls import claim_memory
from gypsumpost_daemon.calls.claim_codec import encode_record
from gypsumpost_daemon.calls.claim_memory import MEMORY_SECONDS, ClaimMemory
from gypsumpost_daemon.calls.claim_messages import decode_era, encode_era
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.calls.claim_renewal import find_following_order

CREATE, REPLACE, REMOVE = ClaimOrderKind.CREATE, ClaimOrderKind.REPLACE, ClaimOrderKind.REMOVE


def make_order(kind: ClaimOrderKind, expected: bytes, value: bytes, key: bytes = b"k"):
    return ClaimOrder(kind=kind, key=key, expected=expected, value=value)


def make_value(owner: str, has_outcome: bool) -> bytes:
    outcome = ClaimOutcome(run_state=RunState.RUN, status=200, headers={}, body=b"")
    record = ClaimRecord(
        owner=owner,
        incarnation=1,
        nonce=owner,
        deadline=1.0,
        request_digest="d",
        outcome=outcome if has_outcome else None,
    )
    return encode_record(record)


def test_the_last_state_of_a_claim_is_known() -> None:
    """Guards against storing a claim again without its outcome, or one that was removed."""
    memory = ClaimMemory()
    memory.record_submitted(make_order(CREATE, b"", b"claim"), 0)
    assert memory.list_orders() == []
    memory.record_created(make_order(CREATE, b"", b"claim"), 0)
    memory.record_submitted(make_order(REPLACE, b"other", b"wrong"), 0)
    assert memory.list_orders() == [make_order(CREATE, b"", b"claim")]
    memory.record_submitted(make_order(REPLACE, b"claim", b"outcome"), 0)
    assert memory.list_orders() == [make_order(CREATE, b"", b"outcome")]
    memory.record_submitted(make_order(REMOVE, b"outcome", b""), 0)
    assert memory.list_orders() == [make_order(REMOVE, b"outcome", b"")]


def test_claims_are_forgotten_by_the_time_of_the_contact_before() -> None:
    """Guards against an outage of the store that outlasts the memory of what it then lacks."""
    memory = ClaimMemory()
    memory.record_created(make_order(CREATE, b"", b"v"), 0)
    memory.record_contact(1)
    memory.record_contact(1000)
    assert memory.find_order(b"k") is not None
    memory.record_created(make_order(CREATE, b"", b"v", b"late"), 1000)
    memory.record_contact(1000 + MEMORY_SECONDS)
    assert memory.find_order(b"k") is None
    assert memory.find_order(b"late") is not None
    memory.record_contact(1001 + MEMORY_SECONDS)
    assert memory.find_order(b"late") is None


def test_the_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a host whose large outcomes use up its memory."""
    monkeypatch.setattr(claim_memory, "MAX_MEMORY_BYTES", 25)
    memory = ClaimMemory()
    for number in range(4):
        memory.record_created(make_order(CREATE, b"", b"123456789", b"%d" % number), 0)
    assert [order.key for order in memory.list_orders()] == [b"2", b"3"]


def test_an_era_of_a_peer_that_cannot_be_believed_is_none() -> None:
    """Guards against a message that ends the renewal, or sets the era beyond all others."""
    assert decode_era(encode_era(StoreEra(7))) == 7
    assert decode_era(encode_era(StoreEra(MAX_ERA + 1))) == NO_ERA
    for payload in (b"", b"\xff" * 20, b"\x00"):
        assert decode_era(payload) == NO_ERA


@pytest.mark.parametrize(
    ("kind", "stored", "following"),
    [
        (CREATE, make_value("own", False), None),
        (CREATE, make_value("other", False), REPLACE),
        (CREATE, make_value("other", True), None),
        (CREATE, b"unreadable", None),
        (CREATE, b"[]", None),
        (REPLACE, None, CREATE),
        (REPLACE, make_value("other", False), REPLACE),
        (REMOVE, None, None),
        (REMOVE, make_value("other", False), None),
    ],
)
def test_only_a_claim_that_is_not_sent_yet_gives_way(
    kind: ClaimOrderKind, stored: bytes | None, following: ClaimOrderKind | None
) -> None:
    """Guards against the loss of an outcome, and of a claim that a later host has taken."""
    order = make_order(kind, b"expected", make_value("own", False))
    found = find_following_order(order, ClaimOrderReply(applied=False, current=stored))
    assert (None if found is None else found.kind) == following
    assert find_following_order(order, ClaimOrderReply(applied=True)) is None
    if found is not None and found.kind is REPLACE:
        assert found.expected == stored and found.value == order.value
