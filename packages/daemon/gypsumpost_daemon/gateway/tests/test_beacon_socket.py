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
PEERS = 25
TURN_SECONDS = 0.04
"""Time that other tasks take between two datagrams of a slow host."""

UNUSED_IP = "127.0.0.9"

BEACON = Beacon(
    host=HostReport(host_id="h", failure_domain="d", link_mbps=8),
    ip="127.0.0.1",
    sequence=3,
    version=4,
    endpoint_revision=5,
    uses={},
    retries={},
    confirmed_ms_ago=CONFIRMED_MS,
    endpoints_told_ms_ago=CONFIRMED_MS,
)


@contextmanager
def open_beacons() -> Iterator[BeaconSocket]:
    """Open a socket that receives what it sends."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.setblocking(False)
        udp.bind(("127.0.0.1", 0))
        yield BeaconSocket(udp=udp, port=udp.getsockname()[1], key=KeyRing(current=KEY))


async def send_to_itself(beacons: BeaconSocket, beacon: Beacon) -> None:
    """Send a beacon to the socket itself."""
    await beacons.send(beacons.encode(beacon), ["127.0.0.1"], dated_at=trio.current_time())


async def receive_after_pause(beacons: BeaconSocket, beacon: Beacon) -> ReceivedBeacon:
    """Return a beacon that arrives while the process is paused."""
    received = beacons.receive_all()
    async with trio.open_nursery() as nursery:

        async def pause() -> None:
            await trio.testing.wait_all_tasks_blocked()
            await send_to_itself(beacons, beacon)
            time.sleep(PAUSE_SECONDS)

        nursery.start_soon(pause)
        return await anext(received)


async def test_a_forwarded_beacon_that_waited_names_the_age_of_its_confirmation():
    """Guards against a relay that makes an old confirmation look new after a pause."""
    with open_beacons() as beacons:
        received = await receive_after_pause(beacons, BEACON)
        forwarded = beacons.update_age(received.data, received.arrived_after)
    assert forwarded[:MAC_BYTES] == sign_datagram(KEY, forwarded[MAC_BYTES:])
    beacon = decode_beacon(forwarded[MAC_BYTES:]).unwrap()
    assert beacon.confirmed_ms_ago is not None
    assert beacon.confirmed_ms_ago >= CONFIRMED_MS + PAUSE_SECONDS * 1000
    assert beacon.endpoints_told_ms_ago == beacon.confirmed_ms_ago
    renewed = attrs.evolve(
        beacon, confirmed_ms_ago=CONFIRMED_MS, endpoints_told_ms_ago=CONFIRMED_MS
    )
    assert renewed == BEACON


async def test_a_beacon_that_is_sent_late_names_the_age_of_its_confirmation(nursery):
    """Guards against a slow host that tells the last of its peers an age as of a second ago."""

    async def delay_tasks() -> None:
        while True:
            time.sleep(TURN_SECONDS)
            await trio.lowlevel.checkpoint()

    with open_beacons() as beacons:
        made_at = trio.current_time()
        data = beacons.encode(BEACON)
        nursery.start_soon(delay_tasks)
        await beacons.send(data, [*[UNUSED_IP] * PEERS, "127.0.0.1"], dated_at=made_at)
        received = await anext(beacons.receive_all())
        nursery.cancel_scope.cancel()
    beacon = received.beacon
    assert beacon.confirmed_ms_ago is not None
    # The order of tasks within a turn is random, so the first and the last turn may not count.
    assert beacon.confirmed_ms_ago >= CONFIRMED_MS + (PEERS - 1) * TURN_SECONDS * 1000


async def test_a_forwarded_beacon_without_a_confirmation_gets_none():
    """Guards against a confirmation that no host has had."""
    with open_beacons() as beacons:
        beacon = attrs.evolve(BEACON, confirmed_ms_ago=None, endpoints_told_ms_ago=None)
        received = await receive_after_pause(beacons, beacon)
        assert beacons.update_age(received.data, received.arrived_after) == received.data


async def test_a_beacon_after_a_quiet_time_does_not_count_as_old():
    """Guards against a host that takes the time since the last beacon for the age of this one."""
    with open_beacons() as beacons:
        received = beacons.receive_all()
        async with trio.open_nursery() as nursery:

            async def send_later() -> None:
                await trio.sleep(2 * PAUSE_SECONDS)
                await send_to_itself(beacons, BEACON)

            nursery.start_soon(send_later)
            beacon = await anext(received)
        assert trio.current_time() - beacon.arrived_after < PAUSE_SECONDS
        assert beacons.update_age(beacon.data, trio.current_time()) == beacon.data


@pytest.mark.parametrize("confirmed_ms_ago", [0, CONFIRMED_MS, 2**32 - 2])
@pytest.mark.parametrize("seconds", [1e9, float("inf")])
def test_an_age_that_is_too_high_is_no_confirmation(seconds, confirmed_ms_ago):
    """Guards against an age that is cut off, or a beacon that cannot be forwarded."""
    data = encode_beacon(attrs.evolve(BEACON, confirmed_ms_ago=confirmed_ms_ago))
    aged = add_confirmation_age(data, seconds)
    assert decode_beacon(aged).unwrap().confirmed_ms_ago is None
