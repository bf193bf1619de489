"""Encoding of messages between a daemon and the claim batcher of its domain."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import capnp
from result import Err, Ok, Result

from gypsumpost_core.gateway.store_era import MAX_ERA, NO_ERA, StoreEra
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.claim_order_reply import ClaimOrderReply
from gypsumpost_daemon.store.store_failure import StoreFailure

SCHEMA = capnp.load(str(Path(__file__).with_suffix(".capnp")))

OrderOutcome = Result[ClaimOrderReply, StoreFailure]


def encode_orders(orders: Sequence[ClaimOrder], unix_deadline: float) -> bytes:
    """Encode a ``CLAIM_CALLS`` request.

    :param orders: the orders.
    :param unix_deadline: Unix time in seconds at which the sender stops waiting.
    """
    message = SCHEMA.ClaimOrders.new_message(deadline=unix_deadline)
    slots = message.init("orders", len(orders))
    for slot, order in zip(slots, orders, strict=True):
        slot.kind = int(order.kind)
        slot.key = order.key
        slot.expected = order.expected
        slot.value = order.value
    return message.to_bytes_packed()


def decode_orders(payload: bytes) -> tuple[list[ClaimOrder], float]:
    """Decode a ``CLAIM_CALLS`` request into its orders and its deadline, a Unix time in seconds.

    :param payload: the encoded message.
    """
    message = SCHEMA.ClaimOrders.from_bytes_packed(payload)
    return [_decode_order(order) for order in message.orders], message.deadline


def encode_outcomes(outcomes: Sequence[OrderOutcome]) -> bytes:
    """Encode the reply to a ``CLAIM_CALLS`` request.

    :param outcomes: the outcome of each order.
    """
    message = SCHEMA.ClaimReplies.new_message()
    slots = message.init("replies", len(outcomes))
    for slot, outcome in zip(slots, outcomes, strict=True):
        _fill_reply(slot, outcome)
    return message.to_bytes_packed()


def decode_outcomes(payload: bytes) -> list[OrderOutcome]:
    """Decode the reply to a ``CLAIM_CALLS`` request.

    :param payload: the encoded message.
    """
    message = SCHEMA.ClaimReplies.from_bytes_packed(payload)
    return [_decode_reply(reply) for reply in message.replies]


def encode_era(era: StoreEra) -> bytes:
    """Encode a ``RENEW_CLAIMS`` request, or the reply to it.

    :param era: era of the store; in a reply, the era in which the claims are stored again.
    """
    return SCHEMA.ClaimsEra.new_message(era=era).to_bytes_packed()


def decode_era(payload: bytes) -> StoreEra:
    """Decode a ``RENEW_CLAIMS`` request, or the reply to it; ``NO_ERA`` if it cannot be read.

    :param payload: the encoded message.
    """
    try:
        era = SCHEMA.ClaimsEra.from_bytes_packed(payload).era
    except (capnp.KjException, ValueError):
        return NO_ERA
    return StoreEra(era) if era <= MAX_ERA else NO_ERA


def _decode_order(order: Any) -> ClaimOrder:
    return ClaimOrder(
        kind=ClaimOrderKind(order.kind),
        key=bytes(order.key),
        expected=bytes(order.expected),
        value=bytes(order.value),
    )


def _fill_reply(slot: Any, outcome: OrderOutcome) -> None:
    if isinstance(outcome, Err):
        slot.sent = outcome.err_value.sent
        slot.reason = outcome.err_value.reason
        return
    reply = outcome.ok_value
    slot.answered = True
    slot.applied = reply.applied
    slot.hasCurrent = reply.current is not None
    slot.current = reply.current or b""


def _decode_reply(reply: Any) -> OrderOutcome:
    if not reply.answered:
        return Err(StoreFailure(reason=reply.reason, sent=reply.sent))
    current = bytes(reply.current) if reply.hasCurrent else None
    return Ok(ClaimOrderReply(applied=reply.applied, current=current))
