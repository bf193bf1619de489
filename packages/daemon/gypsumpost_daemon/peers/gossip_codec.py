"""Encoding and authentication of membership datagrams."""

import functools
import hashlib
import hmac
from pathlib import Path
from typing import Any

import capnp
from result import Err, Ok, Result

from gypsumpost_core.host import Host
from gypsumpost_core.key_ring import KeyRing, create_key_ring
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.domain_beat import DomainBeat
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.settings.setting_parsers import parse_name
from gypsumpost_daemon.peers.compact_addresses import CompactAddresses, compact_addresses

MAC_BYTES = 16

SCHEMA: Any = capnp.load(str(Path(__file__).with_name("gossip.capnp")))


class GossipCodec:
    """Encodes datagrams with an authentication code and decodes them.

    :param key: the shared key of the deployment.
    """

    def __init__(self, *, key: bytes | KeyRing) -> None:
        self._keys = create_key_ring(key)

    def encode(self, datagram: Datagram, clock: int, now: float = 0.0) -> bytes:
        """Return the authenticated encoding of a datagram.

        :param datagram: the datagram.
        :param clock: the sender's hybrid clock.
        :param now: monotonic time in seconds.
        """
        message = SCHEMA.Datagram.new_message(
            kind=datagram.kind.value,
            sequence=datagram.sequence,
            targetId=datagram.target_id,
            cursor=datagram.cursor,
            tableDigest=datagram.table_digest,
            listRevision=datagram.list_revision,
            clock=clock,
        )
        _write_update(message.init("sender"), datagram.sender)
        _write_updates(message, "updates", datagram.updates)
        _write_updates(message, "page", datagram.page)
        if datagram.beats:
            builders = message.init("beats", len(datagram.beats))
            for builder, beat in zip(builders, datagram.beats, strict=True):
                builder.failureDomain = beat.failure_domain
                builder.clock = beat.clock
        body: bytes = message.to_bytes_packed()
        return sign_datagram(self._keys.choose_signing_key(now), body) + body

    def decode(self, data: bytes, now: float = 0.0) -> Result[Datagram, str]:
        """Return the datagram, or the reason why the bytes are rejected.

        :param data: received bytes.
        :param now: monotonic time in seconds.
        """
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        keys = self._keys.list_accepted_keys(now)
        if not any(hmac.compare_digest(mac, sign_datagram(key, body)) for key in keys):
            return Err("wrong authentication code")
        try:
            return Ok(_read_datagram(SCHEMA.Datagram.from_bytes_packed(body)))
        except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
            return Err("malformed datagram: " + str(error).partition("\n")[0])


def sign_datagram(key: bytes, body: bytes) -> bytes:
    """Return the authentication code of a datagram.

    :param key: a shared key.
    :param body: the encoded datagram.
    """
    return hmac.digest(key, body, hashlib.sha256)[:MAC_BYTES]


def _write_updates(message: Any, name: str, updates: tuple[MemberUpdate, ...]) -> None:
    if updates:
        for builder, update in zip(message.init(name, len(updates)), updates, strict=True):
            _write_update(builder, update)


def _write_update(builder: Any, update: MemberUpdate) -> None:
    addresses = _compact_addresses(update.host)
    builder.hostId = update.host.host_id
    builder.failureDomain = update.host.failure_domain
    builder.ip = addresses.ip
    builder.peerPort = addresses.peer_port
    builder.gossipPort = addresses.gossip_port
    builder.apiPort = addresses.api_port
    if addresses.text:
        builder.addresses = addresses.text
    builder.incarnation = update.incarnation
    builder.state = update.state.value


def _read_datagram(message: Any) -> Datagram:
    return Datagram(
        kind=DatagramKind(message.kind.raw),
        sender=_read_update(message.sender),
        sequence=message.sequence,
        target_id=message.targetId,
        cursor=message.cursor,
        updates=tuple(_read_update(reader) for reader in message.updates),
        page=tuple(_read_update(reader) for reader in message.page),
        table_digest=message.tableDigest,
        beats=tuple(
            DomainBeat(failure_domain=reader.failureDomain, clock=reader.clock)
            for reader in message.beats
        ),
        list_revision=message.listRevision,
        clock=message.clock,
    )


def _read_update(reader: Any) -> MemberUpdate:
    host = _create_host(
        reader.hostId,
        reader.failureDomain,
        reader.ip,
        reader.peerPort,
        reader.gossipPort,
        reader.apiPort,
        reader.addresses,
    )
    return MemberUpdate(
        host=host, incarnation=reader.incarnation, state=MemberState(reader.state.raw)
    )


# Parsing addresses took most of the decoding time, and the same hosts recur in every datagram.
_compact_addresses = functools.lru_cache(maxsize=4096)(compact_addresses)


@functools.lru_cache(maxsize=4096)
def _create_host(
    host_id: str,
    failure_domain: str,
    ip: int,
    peer_port: int,
    gossip_port: int,
    api_port: int,
    text: str,
) -> Host:
    addresses = CompactAddresses(
        ip=ip, peer_port=peer_port, gossip_port=gossip_port, api_port=api_port, text=text
    )
    return addresses.create_host(parse_name(host_id), parse_name(failure_domain))
