"""Server-side codec of the JSON of the etcd v3 gateway."""

from typing import Any

from gypsumpost_bench.store_rejection import StoreRejection
from gypsumpost_daemon.store.store_codec import decode_bytes, encode_bytes
from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_key_value import StoreKeyValue
from gypsumpost_daemon.store.store_transaction import (
    StoreCompare,
    StoreDelete,
    StoreGet,
    StoreOperation,
    StorePut,
    StoreTransaction,
)
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult

GET_NAME = "request_range"
DELETE_NAME = "request_delete_range"
PUT_NAME = "request_put"
NESTED_NAME = "request_txn"


def decode_transaction(body: dict[str, Any]) -> StoreTransaction:
    """Decode the body of a ``txn`` call.

    :param body: the JSON object.
    :raises StoreRejection: for a condition or operation that the stand-in does not support.
    """
    return StoreTransaction(
        compare=tuple(_decode_compare(compare) for compare in body.get("compare", ())),
        success=tuple(_decode_operation(operation) for operation in body.get("success", ())),
        failure=tuple(_decode_operation(operation) for operation in body.get("failure", ())),
    )


def decode_get(body: dict[str, Any]) -> StoreGet:
    """Decode the body of a ``range`` call.

    :param body: the JSON object.
    """
    return StoreGet(
        key=decode_bytes(body["key"]), range_end=decode_bytes(body.get("range_end", ""))
    )


def encode_header(revision: int) -> dict[str, str]:
    """Encode the header of a response.

    :param revision: revision of the store.
    """
    return {"cluster_id": "1", "member_id": "1", "revision": str(revision), "raft_term": "1"}


def encode_range_result(result: StoreTransactionResult) -> dict[str, Any]:
    """Encode the response of a ``range`` call.

    :param result: result of a transaction with only this range.
    """
    (pairs,) = result.results
    assert isinstance(pairs, tuple)
    return _encode_range_response(pairs, result.revision)


def _encode_range_response(pairs: tuple[StoreKeyValue, ...], revision: int) -> dict[str, Any]:
    body: dict[str, Any] = {"header": encode_header(revision)}
    if pairs:
        body |= {"kvs": [_encode_pair(pair) for pair in pairs], "count": str(len(pairs))}
    return body


def encode_result(transaction: StoreTransaction, result: StoreTransactionResult) -> dict[str, Any]:
    """Encode the response of a ``txn`` call; as in etcd's gateway, default values are omitted.

    :param transaction: the transaction.
    :param result: its result.
    """
    body: dict[str, Any] = {"header": encode_header(result.revision)}
    if result.succeeded:
        body["succeeded"] = True
    operations = transaction.success if result.succeeded else transaction.failure
    pairs = zip(operations, result.results, strict=True)
    if operations:
        body["responses"] = [_encode_response(*pair, result.revision) for pair in pairs]
    return body


def encode_events(events: list[StoreEvent], revision: int) -> dict[str, Any]:
    """Encode one line of a watch response.

    :param events: the changes.
    :param revision: revision of the store.
    """
    lines = [_encode_event(event) for event in events]
    return {"result": {"header": encode_header(revision), "events": lines}}


def _encode_event(event: StoreEvent) -> dict[str, Any]:
    pair = {"key": encode_bytes(event.key), "mod_revision": str(event.mod_revision)}
    if event.value is None:
        return {"type": "DELETE", "kv": pair}
    return {"kv": pair | {"value": encode_bytes(event.value)}}


def _encode_pair(pair: StoreKeyValue) -> dict[str, str]:
    return {
        "key": encode_bytes(pair.key),
        "value": encode_bytes(pair.value),
        "create_revision": str(pair.create_revision),
        "mod_revision": str(pair.mod_revision),
    }


def _encode_response(
    operation: StoreOperation,
    result: tuple[StoreKeyValue, ...] | StoreTransactionResult,
    revision: int,
) -> dict[str, Any]:
    if isinstance(result, StoreTransactionResult):
        assert isinstance(operation, StoreTransaction)
        return {"response_txn": encode_result(operation, result)}
    if isinstance(operation, StoreGet):
        return {"response_range": _encode_range_response(result, revision)}
    name = "response_put" if isinstance(operation, StorePut) else "response_delete_range"
    return {name: {"header": encode_header(revision)}}


def _decode_compare(body: dict[str, Any]) -> StoreCompare:
    key = decode_bytes(body["key"])
    target, relation = body.get("target", "VERSION"), body.get("result", "EQUAL")
    if relation != "EQUAL":
        raise StoreRejection(f"the stand-in does not know the comparison {relation}")
    if target == "CREATE":
        return StoreCompare(key=key, create_revision=int(body.get("create_revision", 0)))
    if target == "MOD":
        return StoreCompare(key=key, mod_revision=int(body.get("mod_revision", 0)))
    if target == "VALUE":
        return StoreCompare(key=key, value=decode_bytes(body.get("value", "")))
    raise StoreRejection(f"the stand-in does not know the target {target}")


def _decode_operation(body: dict[str, Any]) -> StoreOperation:
    if NESTED_NAME in body:
        return decode_transaction(body[NESTED_NAME])
    if GET_NAME in body:
        return decode_get(body[GET_NAME])
    if DELETE_NAME in body:
        get = decode_get(body[DELETE_NAME])
        return StoreDelete(key=get.key, range_end=get.range_end)
    if PUT_NAME not in body:
        raise StoreRejection(f"unknown operation {sorted(body)}")
    put = body[PUT_NAME]
    return StorePut(
        key=decode_bytes(put["key"]),
        value=decode_bytes(put.get("value", "")),
        lease=int(put.get("lease", 0)),
    )
