"""JSON encoding of the etcd v3 gateway.

Keys and values are encoded in base64, 64-bit integers as strings.
"""

import base64
from typing import Any

from gypsumpost_daemon.store.store_event import StoreEvent
from gypsumpost_daemon.store.store_key_value import StoreKeyValue
from gypsumpost_daemon.store.store_transaction import (
    StoreCompare,
    StoreGet,
    StoreOperation,
    StorePut,
    StoreTransaction,
)
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult


def encode_bytes(data: bytes) -> str:
    """Encode a key or value in base64.

    :param data: the key or value.
    """
    return base64.b64encode(data).decode()


def decode_bytes(text: str) -> bytes:
    """Decode a key or value from base64.

    :param text: base64 text.
    """
    return base64.b64decode(text)


def encode_transaction(transaction: StoreTransaction) -> dict[str, Any]:
    """Encode the request body of a ``txn`` call.

    :param transaction: the transaction.
    """
    return {
        "compare": [_encode_compare(compare) for compare in transaction.compare],
        "success": [_encode_operation(operation) for operation in transaction.success],
        "failure": [_encode_operation(operation) for operation in transaction.failure],
    }


def decode_transaction_result(body: dict[str, Any]) -> StoreTransactionResult:
    """Decode the response of a ``txn`` call; fields with default values may be absent.

    :param body: the JSON object.
    """
    return StoreTransactionResult(
        succeeded=bool(body.get("succeeded", False)),
        revision=int(body.get("header", {}).get("revision", 0)),
        results=tuple(_decode_response(response) for response in body.get("responses", ())),
    )


def decode_key_value(body: dict[str, Any]) -> StoreKeyValue:
    """Decode one key-value pair.

    :param body: the JSON object.
    """
    return StoreKeyValue(
        key=decode_bytes(body.get("key", "")),
        value=decode_bytes(body.get("value", "")),
        create_revision=int(body.get("create_revision", 0)),
        mod_revision=int(body.get("mod_revision", 0)),
    )


def decode_event(body: dict[str, Any]) -> StoreEvent:
    """Decode one event of a watch; the type ``PUT`` is the default and may be absent.

    :param body: the JSON object.
    """
    pair = decode_key_value(body["kv"])
    deleted = body.get("type", "PUT") == "DELETE"
    return StoreEvent(
        key=pair.key, value=None if deleted else pair.value, mod_revision=pair.mod_revision
    )


def encode_range(key: bytes, range_end: bytes) -> dict[str, str]:
    """Encode a key or a range of keys.

    :param key: first key of the range.
    :param range_end: end of the range (exclusive), empty for a single key.
    """
    body = {"key": encode_bytes(key)}
    if range_end:
        body["range_end"] = encode_bytes(range_end)
    return body


def _encode_compare(compare: StoreCompare) -> dict[str, str]:
    body = {"key": encode_bytes(compare.key), "result": "EQUAL"}
    if compare.create_revision is not None:
        return body | {"target": "CREATE", "create_revision": str(compare.create_revision)}
    if compare.mod_revision is not None:
        return body | {"target": "MOD", "mod_revision": str(compare.mod_revision)}
    return body | {"target": "VALUE", "value": encode_bytes(compare.value or b"")}


def _encode_operation(operation: StoreOperation) -> dict[str, Any]:
    if isinstance(operation, StoreTransaction):
        return {"request_txn": encode_transaction(operation)}
    if isinstance(operation, StorePut):
        body = {"key": encode_bytes(operation.key), "value": encode_bytes(operation.value)}
        return {"request_put": body | {"lease": str(operation.lease)}}
    name = "request_range" if isinstance(operation, StoreGet) else "request_delete_range"
    return {name: encode_range(operation.key, operation.range_end)}


def _decode_response(
    body: dict[str, Any],
) -> tuple[StoreKeyValue, ...] | StoreTransactionResult:
    if "response_txn" in body:
        return decode_transaction_result(body["response_txn"])
    if "response_range" in body:
        return tuple(decode_key_value(pair) for pair in body["response_range"].get("kvs", ()))
    return ()
