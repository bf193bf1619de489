"""Sends and receives signed beacons over UDP."""

import hmac
import math
import socket
from collections.abc import AsyncIterator, Iterable

import attrs
import trio
from result import Err

from gypsumpost_core.key_ring import KeyRing
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.beacon_codec import (
    add_confirmation_age,
    decode_beacon,
    encode_beacon,
)
from gypsumpost_daemon.peers.gossip_codec import MAC_BYTES, sign_datagram
from gypsumpost_daemon.telemetry.log import Log

RECEIVE_BYTES = 65536
MAX_BODY_BYTES = 65507 - MAC_BYTES
"""Longest payload of a UDP datagram. Callers choose the ids of their requests, which are part of
the copies; without a beacon, peers would miss the losses and versions that it carries too."""

EMPTY_CHECK_SECONDS = 0.1
"""Interval at which the socket is checked while no datagram arrives."""

LATE_SECONDS = 1.5 * EMPTY_CHECK_SECONDS
"""Time from which on a beacon that waits is given the age of its confirmation anew. It is longer
than the interval of the checks, so that most beacons are forwarded unchanged."""

LOG = Log(prefix="peers")


@attrs.frozen(kw_only=True)
class ReceivedBeacon:
    """A beacon with the datagram and the address needed to forward it.

    :param beacon: the beacon.
    :param data: the datagram as received.
    :param source: address of the host that sent or forwarded the datagram.
    :param arrived_after: monotonic time in seconds of the last moment at which it was not there.
    """

    beacon: Beacon
    data: bytes
    source: str
    arrived_after: float


class BeaconSocket:
    """Signs and sends beacons, and verifies those received.

    :param udp: the bound, non-blocking socket.
    :param port: UDP port, the same on all hosts.
    :param key: shared key of the deployment.
    """

    def __init__(self, *, udp: socket.socket, port: int, key: KeyRing) -> None:
        self._udp = udp
        self._sender = trio.socket.from_stdlib_socket(udp)
        self._port = port
        self._key = key

    def encode(self, beacon: Beacon) -> bytes:
        """Return a beacon as a signed datagram, without the copies if it does not fit with them."""
        body = encode_beacon(beacon)
        if len(body) > MAX_BODY_BYTES:
            LOG.write("a beacon is too long", size=len(body), copies=len(beacon.copies))
            body = encode_beacon(attrs.evolve(beacon, copies=(), copies_left_out=True))
        return sign_datagram(self._key.choose_signing_key(trio.current_time()), body) + body

    def update_age(self, data: bytes, dated_at: float) -> bytes:
        """Return a datagram with the age that its confirmation has now.

        :param data: the datagram.
        :param dated_at: moment for which it names the age, as monotonic time in seconds.
        """
        now = trio.current_time()
        if now - dated_at <= LATE_SECONDS:
            return data
        body = add_confirmation_age(data[MAC_BYTES:], now - dated_at)
        return sign_datagram(self._key.choose_signing_key(now), body) + body

    async def send(self, data: bytes, ips: Iterable[str], *, dated_at: float) -> int:
        """Send a datagram to hosts and return the number of bytes that were sent.

        Other tasks run between two hosts, which takes long if this host is slow.

        :param data: the datagram.
        :param ips: addresses of the hosts.
        :param dated_at: moment for which it names the age of its confirmation, as monotonic time
            in seconds.
        """
        sent = 0
        for ip in ips:
            try:
                sent += await self._sender.sendto(self.update_age(data, dated_at), (ip, self._port))
            except OSError as error:
                LOG.write("failed to send a beacon", ip=ip, reason=str(error))
        return sent

    async def receive_all(self) -> AsyncIterator[ReceivedBeacon]:
        """Yield verified beacons as they arrive; other datagrams are logged and dropped.

        A datagram may have waited in the socket if this host is slow. It arrived after the moment
        at which the socket was seen to be empty for the last time.
        """
        emptied_at = -math.inf
        while True:
            await trio.lowlevel.checkpoint()
            checked_at = trio.current_time()
            try:
                data, source = self._udp.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                emptied_at = checked_at
                # Without the limit, a beacon that comes after a quiet time would count as old.
                with trio.move_on_at(checked_at + EMPTY_CHECK_SECONDS):
                    await trio.lowlevel.wait_readable(self._udp)
                continue
            except OSError as error:
                LOG.write("failed to receive a datagram", reason=str(error))
                continue
            mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
            if not any(
                hmac.compare_digest(mac, sign_datagram(key, body))
                for key in self._key.list_accepted_keys(trio.current_time())
            ):
                LOG.write("ignored a datagram with an invalid MAC")
                continue
            decoded = decode_beacon(body)
            if isinstance(decoded, Err):
                LOG.write("ignored a malformed datagram", reason=decoded.err_value)
                continue
            yield ReceivedBeacon(
                beacon=decoded.ok_value, data=data, source=source[0], arrived_after=emptied_at
            )
