"""Tests of the codec of messages between gateways."""

import itertools
import socket
import zlib
from typing import Any

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from gypsumpost_core.crashes.crash_key import CauseKind, CrashKey
from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.crashes.survival_report import SurvivalReport
from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.engine_usage import EngineUsage
from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.known_stream import KnownStream
from gypsumpost_core.gateway.retry_count import RetryCount
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_core.gateway.store_position import StorePosition
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_core.gateway.stream_memory import StreamMemory
from gypsumpost_core.key_ring import KeyRing
from gypsumpost_core.limits.request_limit import RequestLimit
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.beacon_codec import decode_beacon, encode_beacon
from gypsumpost_daemon.gateway.beacon_socket import MAX_BODY_BYTES, BeaconSocket
from gypsumpost_daemon.gateway.copy_codec import decode_memory, encode_memory
from gypsumpost_daemon.gateway.directory_codec import (
    decode_directory_query,
    decode_state,
    encode_directory_query,
    encode_state,
)
from gypsumpost_daemon.gateway.directory_query import DirectoryQuery
from gypsumpost_daemon.gateway.item_set import ItemSet
from gypsumpost_daemon.gateway.peer_schema import SCHEMA
from gypsumpost_daemon.gateway.value_compression import MAX_BYTES
from gypsumpost_daemon.peers.gossip_codec import MAC_BYTES


def create_beacon(**fields: Any) -> Beacon:
    """Return a beacon without usage; ``fields`` are added."""
    return Beacon(
        host=HostReport(
            host_id="h", failure_domain="d", link_mbps=8, watching=True, store_lost=True
        ),
        ip="127.0.0.1",
        sequence=3,
        version=4,
        endpoint_revision=5,
        uses={},
        retries={},
        **fields,
    )


def test_a_beacon_is_decoded_as_it_was_encoded():
    """Guards against fields that are confused with each other."""
    beacon = Beacon(
        host=HostReport(
            host_id="h", failure_domain="d", link_mbps=8, watching=True, store_lost=True
        ),
        ip="127.0.0.1",
        covers_domain=True,
        sequence=3,
        version=4,
        endpoint_revision=5,
        uses={"e": EngineUsage(running=1, prefill_tokens=2, memory_tokens=3, copy_tokens=4)},
        rates={"e": 4010},
        retries={"s": RetryCount(requests=7, retries=8)},
        losses=(EndpointStart(endpoint_id="e", started_at=6),),
        returns=(EndpointStart(endpoint_id="e", started_at=9),),
        leaving=(EndpointStart(endpoint_id="e", started_at=10),),
        crashes=(
            CrashReport(
                suspect=CrashSuspect(fingerprint=b"\0\xff", parts=(b"p", b"\xff")),
                process=EndpointStart(endpoint_id="e", started_at=7),
                failure_domain="a",
                age_seconds=1.5,
            ),
        ),
        survivals=tuple(
            SurvivalReport(key=CrashKey(kind=kind, digest=b"\xff"), count=1.5, age_seconds=2.5)
            for kind in CauseKind
        ),
        copies=(
            CopyReport(
                fingerprint=b"f",
                request_id="r",
                copy_engine="c",
                continues="q",
                broken=True,
                last_event_id=b"\xff",
            ),
        ),
        incarnation=11,
        copies_left_out=True,
        begun=(b"\xff1234567", b"12345678"),
    )
    assert decode_beacon(encode_beacon(beacon)).unwrap() == beacon


@pytest.mark.parametrize("number", [0, 1, 4, 2**32, 10**400])
def test_numbers_that_do_not_fit_are_bounded(number):
    """Guards against a beacon that cannot be made, or a rate of zero that peers divide by."""
    beacon = Beacon(
        host=HostReport(
            host_id="h", failure_domain="d", link_mbps=number, watching=True, store_lost=True
        ),
        ip="127.0.0.1",
        sequence=3,
        version=4,
        endpoint_revision=5,
        uses={
            "e": EngineUsage(
                running=number, prefill_tokens=number, memory_tokens=number, copy_tokens=number
            )
        },
        rates={"e": number},
        retries={"s": RetryCount(requests=number, retries=number)},
        limits=(RequestLimit(key="e", per_second=1.5, number=number),),
    )
    decoded = decode_beacon(encode_beacon(beacon)).unwrap()
    assert decoded.uses["e"].running == decoded.limits[0].number == min(number, 2**32 - 1)
    assert decoded.rates["e"] > 0


def test_a_host_of_an_older_version_confirms_nothing():
    """Guards against hosts that take the absence of an age for an age of zero in a roll-out."""
    beacon = create_beacon()
    assert decode_beacon(encode_beacon(beacon)).unwrap().confirmed_ms_ago is None
    confirmed = attrs.evolve(beacon, confirmed_ms_ago=0)
    assert decode_beacon(encode_beacon(confirmed)).unwrap().confirmed_ms_ago == 0
    assert decode_beacon(encode_beacon(beacon)).unwrap().endpoints_told_ms_ago is None
    told = attrs.evolve(beacon, endpoints_told_ms_ago=0)
    assert decode_beacon(encode_beacon(told)).unwrap().endpoints_told_ms_ago == 0


async def test_a_beacon_with_long_ids_is_sent_without_its_copies():
    """Guards against peers that hear nothing of a host for the long ids of its callers."""
    beacon = create_beacon(
        copies=tuple(
            CopyReport(fingerprint=b"f", request_id=f"{number:016000}", copy_engine="c")
            for number in range(5)
        ),
    )
    key = KeyRing(current=b"key")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        data = BeaconSocket(udp=udp, port=1, key=key).encode(beacon)
    assert len(data) <= MAX_BODY_BYTES + MAC_BYTES
    assert decode_beacon(data[MAC_BYTES:]).unwrap() == attrs.evolve(
        beacon, copies=(), copies_left_out=True
    )


def test_a_directory_is_decoded_as_it_was_encoded():
    """Guards against binary values that are treated as text."""
    sets = [
        ItemSet(
            prefix="p/",
            revision=9,
            items=(
                StoredItem(key="p/a", revision=8, value=b"\xff\0"),
                StoredItem(key="p/b", revision=9, value=None),
            ),
            partial=True,
        ),
        ItemSet(prefix="q/", revision=9, items=(), kept=("q/a", "q/b"), era=StoreEra(3)),
    ]
    assert decode_state(encode_state(sets)).unwrap() == sets
    for kept, compressed in itertools.product((False, True), repeat=2):
        known = {"p/": StorePosition(era=StoreEra(3), revision=7)}
        query = DirectoryQuery(known=known, accepts_kept=kept, accepts_compressed=compressed)
        assert decode_directory_query(encode_directory_query(query)).unwrap() == query


def test_a_large_value_is_compressed_and_decoded_as_it_was():
    """Guards against a configuration that takes a slow link for a third of a second."""
    value = b"".join(b'{"name":"route-%d","kind":"idempotent"},' % n for n in range(2000))
    items = (
        StoredItem(key="p/large", revision=8, value=value),
        StoredItem(key="p/small", revision=9, value=b"small"),
        StoredItem(key="p/gone", revision=10, value=None),
    )
    sets = [ItemSet(prefix="p/", revision=10, items=items)]
    data = encode_state(sets, compressed=True)
    assert len(data) < len(value) / 4
    assert decode_state(data).unwrap() == sets
    assert len(encode_state(sets)) > len(value)


@pytest.mark.parametrize(
    "data", [b"", b"no zlib", zlib.compress(b"cut off")[:-2], zlib.compress(bytes(MAX_BYTES + 1))]
)
def test_a_malformed_compressed_value_is_an_error(data):
    """Guards against a peer's value without end, and against an exception that ends a task."""
    item = {"key": "a", "revision": 1, "value": data, "present": True, "compressed": True}
    state = SCHEMA.DirectoryState.new_message(sets=[{"prefix": "p/", "items": [item]}])
    assert isinstance(decode_state(state.to_bytes_packed()), Err)


@given(st.binary(max_size=60))
def test_no_datagram_raises(data):
    """Guards against a malformed datagram that stops the process with an exception."""
    decoded = decode_beacon(data)
    assert isinstance(decoded, Err) or decoded.ok_value.sequence >= 0
    decode_state(data)
    decode_directory_query(data)


def test_remembered_streams_are_decoded_as_they_were_encoded():
    """Guards against streams that a host which joins gets with the age or domain of others."""
    memory = StreamMemory(
        complete_since=40.0,
        streams=(
            KnownStream(
                host_id="h",
                incarnation=7,
                report=CopyReport(
                    fingerprint=b"f",
                    request_id="r",
                    copy_engine="c",
                    broken=True,
                    last_event_id=b"5",
                ),
                reported_at=98.5,
            ),
        ),
        begun_elsewhere={"b": (b"12345678", b"\xff2345678"), "c": (b"12345678",)},
    )
    assert decode_memory(encode_memory(memory, 100.0), 100.0).unwrap() == memory
    assert memory.is_complete(100.0) and not memory.is_complete(99.0)


@pytest.mark.parametrize("payload", [b"\xff" * 40, b""])
def test_remembered_streams_that_cannot_be_decoded_are_reported(payload):
    """Guards against a host that ends its task because of a peer's reply."""
    decoded = decode_memory(payload, 100.0)
    assert isinstance(decoded, Err) or not decoded.ok_value.is_complete(100.0)
