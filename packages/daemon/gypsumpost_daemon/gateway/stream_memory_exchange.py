"""Asks peers for the streams that they remember."""

import trio
from result import Err

from gypsumpost_core.gateway.copy_directory import CopyDirectory
from gypsumpost_core.gateway.known_stream import KnownStream
from gypsumpost_core.gateway.stream_memory import StreamMemory
from gypsumpost_daemon.gateway.copy_codec import decode_memory, encode_memory
from gypsumpost_daemon.lifecycle.contained_errors import contain_errors
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.telemetry.log import Log

REPLY_SECONDS = 1.0
EQUAL_REPLY_SECONDS = 0.2
"""Many round trips between domains; a caller waits for its next event meanwhile."""

MAX_HOSTS_ASKED = 2
"""Hosts of a domain that are asked for the streams with equal requests, until one replies."""

PAUSE_SECONDS = 0.2
"""Pause between two rounds of questions; a host that starts first has to hear of its peers."""

LOG = Log(prefix="copy")


class StreamMemoryExchange:
    """Lets a host that joins others remember what they do, and asks other domains when in doubt.

    Otherwise the callers whose streams were lost before the host started, or in another domain,
    would be unknown to it, and those of equal requests could not be told from them.

    :param hosts: the known hosts.
    :param peers: sends messages to other hosts.
    :param copies: the streams and their copies.
    """

    def __init__(self, *, hosts: HostDirectory, peers: PeerChannel, copies: CopyDirectory) -> None:
        self._hosts = hosts
        self._peers = peers
        self._copies = copies
        peers.add_handler(MessageKind.STREAM_MEMORY, self._serve)

    async def run(self) -> None:
        """Ask the peers of the failure domain until this host remembers as much as they do."""
        asked: set[str] = set()
        while not self._copies.remembers_all(trio.current_time()):
            for host_id in self._list_domain_peers():
                if host_id in asked:
                    continue
                with contain_errors(LOG, "a question for remembered streams", peer=host_id):
                    if await self._ask(host_id):
                        asked.add(host_id)
            await trio.sleep(PAUSE_SECONDS)

    def _list_domain_peers(self) -> list[str]:
        domain = self._hosts.own.failure_domain
        peers = self._hosts.list_peers()
        return [host.host_id for host in peers if host.failure_domain == domain]

    async def list_equal(self, domain: str, fingerprint: bytes) -> list[KnownStream] | None:
        """Return the streams of another domain with equal requests, ``None`` if that is not known.

        :param domain: the failure domain.
        :param fingerprint: digest of the request.
        """
        hosts = [host for host in self._hosts.list_peers() if host.failure_domain == domain]
        for host in hosts[:MAX_HOSTS_ASKED]:
            memory = await self._request(host.host_id, fingerprint, EQUAL_REPLY_SECONDS)
            if memory is not None and memory.is_complete(trio.current_time()):
                return list(memory.streams)
        return None

    async def _ask(self, host_id: str) -> bool:
        """Add what a peer remembers; return true if it has replied."""
        memory = await self._request(host_id, b"", REPLY_SECONDS)
        if memory is None:
            return False
        now = trio.current_time()
        self._copies.add_memory(memory, now)
        LOG.write(
            "got remembered streams",
            peer=host_id,
            streams=len(memory.streams),
            begun_elsewhere=sum(map(len, memory.begun_elsewhere.values())),
            complete_seconds=round(now - memory.complete_since, 3),
        )
        return True

    async def _request(
        self, host_id: str, fingerprint: bytes, seconds: float
    ) -> StreamMemory | None:
        """Return what a peer remembers, ``None`` without a reply that can be decoded."""
        deadline = trio.current_time() + seconds
        kind = MessageKind.STREAM_MEMORY
        reply = await self._peers.request(host_id, kind, fingerprint, deadline)
        if isinstance(reply, Err):
            return None
        decoded = decode_memory(reply.ok_value, trio.current_time())
        if isinstance(decoded, Err):
            LOG.write("cannot decode remembered streams", peer=host_id, reason=decoded.err_value)
            return None
        return decoded.ok_value

    async def _serve(self, request: PeerRequest) -> bytes:
        now = trio.current_time()
        return encode_memory(self._copies.list_memory(now, request.payload), now)
