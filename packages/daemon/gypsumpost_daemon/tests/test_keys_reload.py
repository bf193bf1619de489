"""Tests of keys and certificates that change while the daemon runs."""

import ssl

import attrs
import pytest
import trio
import trio.testing
from result import Err, Ok

from gypsumpost_core.key_ring import KeyRing
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_daemon.credentials import file_reloader
from gypsumpost_daemon.credentials.keys import Keys
from gypsumpost_daemon.credentials.shared_key_file import OVERLAP_SECONDS, SharedKeyFile
from gypsumpost_daemon.daemon import Daemon
from gypsumpost_daemon.peers.gossip_codec import GossipCodec
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_handshake import PeerHandshake
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.peers.peer_tls import PeerTls
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.tests.certificates import write_certificate
from gypsumpost_daemon.tests.http_fixtures import close_request, connect
from gypsumpost_daemon.tests.test_gossip import create_sender
from gypsumpost_daemon.tests.test_peer_network import create_host, create_network, echo


@pytest.fixture
def log_lines(monkeypatch):
    """Messages that file reloaders log."""
    lines: list[str] = []
    monkeypatch.setattr(
        file_reloader, "LOG", type("L", (), {"write": lambda _, text, **f: lines.append(text)})()
    )
    return lines


async def perform_handshake(left, right):
    one, other = trio.testing.memory_stream_pair()
    outcomes: dict[str, object] = {}

    async def accept():
        outcomes["accept"] = await PeerHandshake(host_id="right", key=right).accept(other)
        await other.aclose()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept)
        outcomes["connect"] = await PeerHandshake(host_id="left", key=left).connect(one, "right")
        await one.aclose()
    return isinstance(outcomes["connect"], Ok) and isinstance(outcomes["accept"], Ok)


def can_gossip(sender, receiver):
    datagram = Datagram(kind=DatagramKind.GOSSIP, sender=create_sender())
    data = GossipCodec(key=sender).encode(datagram, 1, trio.current_time())
    return isinstance(GossipCodec(key=receiver).decode(data, trio.current_time()), Ok)


async def check_interoperability(left, right):
    return [
        await perform_handshake(left, right),
        await perform_handshake(right, left),
        can_gossip(left, right),
        can_gossip(right, left),
    ]


async def test_hosts_agree_while_the_key_is_replaced(autojump_clock, tmp_path):
    """Guards against hosts that reject each other while the key file is replaced on one after
    the other, and against a former key that is accepted forever."""
    paths = [tmp_path / "left", tmp_path / "right"]
    for path in paths:
        path.write_text("old\n")
    left, right = (SharedKeyFile(path=str(path)) for path in paths)
    paths[0].write_text("new\n")
    left.reload()
    assert all(await check_interoperability(left.ring, right.ring))
    await trio.sleep(OVERLAP_SECONDS / 2 - 1)
    assert all(await check_interoperability(left.ring, right.ring))
    paths[1].write_text("new\n")
    right.reload()
    for _ in range(4):
        assert all(await check_interoperability(left.ring, right.ring))
        await trio.sleep(OVERLAP_SECONDS / 2)
    assert not any(await check_interoperability(left.ring, KeyRing(current=b"old")))
    assert all(await check_interoperability(left.ring, KeyRing(current=b"new")))


async def test_empty_key_file_leaves_the_old_key(autojump_clock, tmp_path, nursery, log_lines):
    """Guards against a daemon that accepts an empty key while the key file is being written."""
    path = tmp_path / "key"
    path.write_text("old")
    keys = Keys(settings=Settings(peer_key_file=str(path)))
    nursery.start_soon(keys.run)
    await trio.sleep(1)
    path.write_text("")
    await trio.sleep(3)
    assert (keys.ring.current, log_lines) == (b"old", ["changed files not loaded"])
    path.write_text("newer")
    await trio.sleep(3)
    assert keys.ring.current == b"newer"
    assert log_lines[1:] == ["loaded changed files"]
    nursery.cancel_scope.cancel()


async def read_common_name(context):
    """Return the certificate that a listener with a context presents, in DER form."""
    client_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client_context.check_hostname = False
    client_context.verify_mode = ssl.CERT_NONE
    one, other = trio.testing.memory_stream_pair()
    client = trio.SSLStream(one, client_context)
    server = trio.SSLStream(other, context, server_side=True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.do_handshake)
        await client.do_handshake()
    return client.getpeercert(binary_form=True)


async def test_changed_certificate_is_shown_without_a_restart(
    autojump_clock, tmp_path, nursery, log_lines
):
    """Guards against a daemon that keeps an expiring certificate after its file was replaced,
    and a listener that uses a new certificate without its key."""
    cert, key = tmp_path / "cert.pem", tmp_path / "key.pem"
    write_certificate(cert, key)
    keys = Keys(settings=Settings(tls_cert_file=str(cert), tls_key_file=str(key)))
    context = keys.caller_context
    nursery.start_soon(keys.run)
    first = await read_common_name(context)
    await trio.sleep(1)
    write_certificate(cert, tmp_path / "next-key.pem")
    await trio.sleep(3)
    assert log_lines == ["changed files not loaded"]
    assert await read_common_name(context) == first
    (tmp_path / "next-key.pem").rename(key)
    await trio.sleep(3)
    assert log_lines[1:] == ["loaded changed files"]
    assert await read_common_name(context) == ssl.PEM_cert_to_DER_cert(cert.read_text())
    nursery.cancel_scope.cancel()


@attrs.frozen
class PeerFiles:
    """TLS files of one host; the CA file contains the self-signed certificates of trusted hosts."""

    tls: PeerTls
    cert: str
    ca: str


def create_peer_files(directory, trusted):
    cert, key, ca = (directory / name for name in ("cert.pem", "key.pem", "ca.pem"))
    directory.mkdir()
    write_certificate(cert, key, name=directory.name)
    ca.write_text("".join(path.read_text() for path in [cert, *trusted]))
    return PeerFiles(PeerTls(cert_file=str(cert), key_file=str(key), ca_file=str(ca)), cert, ca)


async def ask(nursery, client_tls, server_tls):
    left, right = create_host("left"), create_host("right")
    networks = []
    for own, other, tls in ((left, right, client_tls), (right, left, server_tls)):
        network = create_network(own, other, b"k")
        network = PeerNetwork(directory=network._directory, key=b"k", tls=tls)
        network.add_handler(MessageKind.TAKE_OVER, echo)
        await nursery.start(network.run)
        networks.append(network)
    deadline = trio.current_time() + 3
    return await networks[0].request("right", MessageKind.TAKE_OVER, b"x" * 100_000, deadline)


async def test_peers_verify_each_other(tmp_path, nursery):
    """Guards against accepting peers without a trusted certificate, in both directions."""
    left = create_peer_files(tmp_path / "left", [])
    right = create_peer_files(tmp_path / "right", [left.cert])
    stranger = create_peer_files(tmp_path / "stranger", [left.cert, right.cert])
    assert isinstance(await ask(nursery, left.tls, right.tls), Err)
    left.ca.write_text(left.cert.read_text() + right.cert.read_text())
    left.tls.reload()
    assert await ask(nursery, left.tls, right.tls) == Ok(b"left:" + b"x" * 100_000)
    for client, server in ((stranger.tls, right.tls), (None, right.tls), (left.tls, None)):
        assert isinstance(await ask(nursery, client, server), Err)
    left.ca.write_text(left.cert.read_text())
    left.tls.reload()
    assert isinstance(await ask(nursery, left.tls, right.tls), Err)
    nursery.cancel_scope.cancel()


async def test_daemon_serves_callers_over_tls(tmp_path, nursery):
    """Guards against TLS settings that the daemon accepts but doesn't apply to its listener."""
    cert, key = tmp_path / "cert.pem", tmp_path / "key.pem"
    write_certificate(cert, key)
    settings = Settings(api_address="127.0.0.1:0", tls_cert_file=str(cert), tls_key_file=str(key))
    running = await Daemon(settings=settings)._start_server(nursery)
    trusted = ssl.create_default_context(cafile=str(cert))
    stream = trio.SSLStream(
        await connect(running), trusted, server_hostname="127.0.0.1", https_compatible=True
    )
    with trio.fail_after(10):
        await stream.send_all(close_request("/v1/models"))
        assert (await stream.receive_some(1000)).startswith(b"HTTP/1.1 401")
    await trio.aclose_forcefully(stream)
    nursery.cancel_scope.cancel()
