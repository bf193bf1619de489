"""Tests of how old the confirmation in a received beacon is."""

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import pytest
import trio
import trio.testing

from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.key_ring import KeyRing
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.beacon_codec import (
    add_confirmation_age,
    decode_beacon,
    encode_beacon,
)
from gypsumpost_daemon.gateway.beacon_socket import BeaconSocket, ReceivedBeacon
from gypsumpost_daemon.peers.gossip_codec import MAC_BYTES, sign_datagram

KEY = b"key"
CONFIRMED_MS = 300
PAUSE_SECONDS = 0.5

BEACON = Beacon(
    host=HostReport(host_id="h", failure_domain="d", link_mbps=8),
    ip="127.0.0.1",
    sequence=3,
    version=4,
    endpoint_revision=5,
    uses={},
    retries={},
    confirmed_ms_ago=CONFIRMED_MS,
)


@contextmanager
def open_beacons() -> Iterator[BeaconSocket]:
    """Open a socket that receives what it sends."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.setblocking(False)
        udp.bind(("127.0.0.1", 0))
        yield BeaconSocket(udp=udp, port=udp.getsockname()[1], key=KeyRing(current=KEY))


async def receive_after_pause(beacons: BeaconSocket, beacon: Beacon) -> ReceivedBeacon:
    """Return a beacon that arrives while the process is paused."""
    received = beacons.receive_all()
    async with trio.open_nursery() as nursery:

        async def pause() -> None:
            await trio.testing.wait_all_tasks_blocked()
            await beacons.send(beacons.encode(beacon), ["127.0.0.1"])
            time.sleep(PAUSE_SECONDS)

        nursery.start_soon(pause)
        return await anext(received)


async def test_a_forwarded_beacon_that_waited_names_the_age_of_its_confirmation():
    """Guards against a relay that makes an old confirmation look new after a pause."""
    with open_beacons() as beacons:
        received = await receive_after_pause(beacons, BEACON)
        forwarded = beacons.encode_forwarded(received)
    assert forwarded[:MAC_BYTES] == sign_datagram(KEY, forwarded[MAC_BYTES:])
    beacon = decode_beacon(forwarded[MAC_BYTES:]).unwrap()
    assert beacon.confirmed_ms_ago is not None
    assert beacon.confirmed_ms_ago >= CONFIRMED_MS + PAUSE_SECONDS * 1000
    assert attrs.evolve(beacon, confirmed_ms_ago=CONFIRMED_MS) == BEACON


async def test_a_forwarded_beacon_without_a_confirmation_gets_none():
    """Guards against a confirmation that no host has had."""
    with open_beacons() as beacons:
        received = await receive_after_pause(beacons, attrs.evolve(BEACON, confirmed_ms_ago=None))
        assert beacons.encode_forwarded(received) == received.data


async def test_a_beacon_after_a_quiet_time_does_not_count_as_old():
    """Guards against a host that takes the time since the last beacon for the age of this one."""
    with open_beacons() as beacons:
        received = beacons.receive_all()
        async with trio.open_nursery() as nursery:

            async def send_later() -> None:
                await trio.sleep(2 * PAUSE_SECONDS)
                await beacons.send(beacons.encode(BEACON), ["127.0.0.1"])

            nursery.start_soon(send_later)
            beacon = await anext(received)
        assert trio.current_time() - beacon.arrived_after < PAUSE_SECONDS
        beacon = attrs.evolve(beacon, arrived_after=trio.current_time())
        assert beacons.encode_forwarded(beacon) == beacon.data


@pytest.mark.parametrize("confirmed_ms_ago", [0, CONFIRMED_MS, 2**32 - 2])
@pytest.mark.parametrize("seconds", [1e9, float("inf")])
def test_an_age_that_is_too_high_is_no_confirmation(seconds, confirmed_ms_ago):
    """Guards against an age that is cut off, or a beacon that cannot be forwarded."""
    data = encode_beacon(attrs.evolve(BEACON, confirmed_ms_ago=confirmed_ms_ago))
    aged = add_confirmation_age(data, seconds)
    assert decode_beacon(aged).unwrap().confirmed_ms_ago is None
