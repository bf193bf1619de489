"""Exchanges reports about crash-causing requests with other daemons."""

import time

import trio
import xxhash
from result import Err, Ok

from gypsumpost_core.host import Host
from gypsumpost_core.rendezvous import rank_hosts
from gypsumpost_core.suspicion.crash_suspicion import CrashSuspicion
from gypsumpost_daemon.crashes.crash_causes import CrashCauses
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.suspicion.quarantine_codec import decode_quarantine, encode_quarantine
from gypsumpost_daemon.suspicion.quarantine_message import QuarantineMessage
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="quarantine")

INTERVAL_SECONDS = 1.0
"""Longest time between two updates of the records and the time slots."""

SEND_SECONDS = 0.5
"""Timeout of one request to a host."""

SEND_ATTEMPTS = 3
OTHER_DOMAIN_ATTEMPTS = 2
"""Number of hosts of another domain that are tried in turn until one accepts the report."""


class CrashReporter:
    """Sends reports to all hosts of the own domain, and to one host of each other domain.

    A host that receives a report from another domain forwards it once to its own domain.

    :param suspicion: provides the reports to send and applies received ones.
    :param causes: provides the evidence of crashes to send and takes that of other daemons.
    :param directory: the known hosts.
    :param peers: channel for messages to other daemons.
    """

    def __init__(
        self,
        *,
        suspicion: CrashSuspicion,
        causes: CrashCauses,
        directory: HostDirectory,
        peers: PeerChannel,
    ) -> None:
        self._suspicion = suspicion
        self._causes = causes
        self._directory = directory
        self._peers = peers
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None
        peers.add_handler(MessageKind.QUARANTINE, self.handle)

    def wake(self) -> None:
        """Send new reports now instead of at the next interval."""
        self._wake.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Send reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._update_clock()
            task_status.started()
            try:
                await self._send_forever()
            finally:
                self._nursery = None

    async def _send_forever(self) -> None:
        while True:
            with trio.move_on_after(INTERVAL_SECONDS):
                await self._wake.wait()
            self._wake = trio.Event()
            now = trio.current_time()
            self._update_clock()
            self._suspicion.expire(now)
            self._causes.review(now)
            register = self._causes.register
            message = QuarantineMessage(
                suspicions=tuple(self._suspicion.list_reports(now)),
                crashes=register.list_reports(now),
                survivals=register.list_survivals(now),
            )
            while not message.is_empty:
                payload = encode_quarantine(message)
                self._send(payload, self._list_own_peers())
                self._send_to_other_domains(payload)
                # The number of reports in one message is bounded.
                message = QuarantineMessage(suspicions=tuple(self._suspicion.list_reports(now)))

    async def handle(self, request: PeerRequest) -> bytes:
        """Apply reports of another daemon.

        :param request: a ``Quarantine`` message.
        """
        decoded = decode_quarantine(request.payload)
        if isinstance(decoded, Err):
            LOG.write(
                "ignored an unreadable message", peer=request.host_id, reason=decoded.err_value
            )
            return b""
        message, now = decoded.ok_value, trio.current_time()
        for report in message.suspicions:
            self._suspicion.apply_report(report, now)
        for crash in message.crashes:
            self._causes.register.add(crash, now)
        for survival in message.survivals:
            self._causes.register.merge_survival(survival, now)
        sender = self._directory.get(request.host_id)
        if sender is not None and sender.failure_domain != self._get_domain():
            self._send(request.payload, self._list_own_peers())
        return b""

    def _update_clock(self) -> None:
        suspicion = self._suspicion
        suspicion.unix_offset = time.time() - trio.current_time()
        own = self._directory.own
        hosts = [h for h in self._directory.list_live() if h.failure_domain == self._get_domain()]
        suspicion.slot_count = max(1, len(hosts))
        suspicion.slot_index = sum(host.host_id < own.host_id for host in hosts)

    def _get_domain(self) -> str:
        return self._directory.own.failure_domain

    def _list_own_peers(self) -> list[Host]:
        peers = self._directory.list_peers()
        return [peer for peer in peers if peer.failure_domain == self._get_domain()]

    def _send(self, payload: bytes, hosts: list[Host]) -> None:
        for host in hosts:
            self._start_delivery(payload, [host] * SEND_ATTEMPTS)

    def _send_to_other_domains(self, payload: bytes) -> None:
        domains: dict[str, list[Host]] = {}
        for peer in self._directory.list_peers():
            if peer.failure_domain != self._get_domain():
                domains.setdefault(peer.failure_domain, []).append(peer)
        for hosts in domains.values():
            # Any host of the domain can forward the reports; the digest spreads them.
            key = xxhash.xxh3_64_hexdigest(payload)
            self._start_delivery(payload, rank_hosts(key, hosts)[:OTHER_DOMAIN_ATTEMPTS])

    def _start_delivery(self, payload: bytes, hosts: list[Host]) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._deliver, payload, hosts)

    async def _deliver(self, payload: bytes, hosts: list[Host]) -> None:
        for host in hosts:
            deadline = trio.current_time() + SEND_SECONDS
            kind = MessageKind.QUARANTINE
            reply = await self._peers.request(host.host_id, kind, payload, deadline)
            if isinstance(reply, Ok):
                return
        LOG.write("could not deliver a report", peer=hosts[-1].host_id)
