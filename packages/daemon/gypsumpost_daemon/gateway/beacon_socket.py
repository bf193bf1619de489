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
from gypsumpost_daemon.gateway.beacon_codec import decode_beacon, encode_beacon
from gypsumpost_daemon.peers.gossip_codec import MAC_BYTES, sign_datagram
from gypsumpost_daemon.telemetry.log import Log

RECEIVE_BYTES = 65536
MAX_BODY_BYTES = 65507 - MAC_BYTES
"""Longest payload of a UDP datagram. Callers choose the ids of their requests, which are part of
the copies; without a beacon, peers would miss the losses and versions that it carries too."""

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

    async def send(self, data: bytes, ips: Iterable[str]) -> int:
        """Send a datagram to hosts and return the number of bytes that were sent.

        :param data: the datagram.
        :param ips: addresses of the hosts.
        """
        sent = 0
        for ip in ips:
            try:
                sent += await self._sender.sendto(data, (ip, self._port))
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
            try:
                data, source = self._udp.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                emptied_at = trio.current_time()
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
