"""Tests of the h11 server over TLS."""

import functools
import ssl

import pytest
import trio

from gypsumpost_daemon.http.http_server import HTTP_SERVERS
from gypsumpost_daemon.tests.certificates import write_certificate
from gypsumpost_daemon.tests.http_fixtures import MAX_BODY, close_request, connect, echo


@pytest.fixture
def certificate(tmp_path):
    """Path of a file with a key and a self-signed certificate for 127.0.0.1."""
    path = tmp_path / "server.pem"
    write_certificate(path)
    return path


@pytest.mark.parametrize("server", ["h11", "hypercorn"])
async def test_request_over_tls_is_answered(server, certificate, nursery):
    """Guards against a listener that ignores its TLS context, and against a plain HTTP
    request that stops it."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate)
    serve = functools.partial(
        HTTP_SERVERS.create,
        server,
        application=echo,
        address="127.0.0.1:0",
        max_body=MAX_BODY,
        tls=context,
    )
    running = await nursery.start(serve)
    async with await connect(running) as plain:
        await plain.send_all(close_request())
        with trio.fail_after(10):
            assert b" 200 " not in await plain.receive_some(1000)
    trusted = ssl.create_default_context(cafile=certificate)
    stream = trio.SSLStream(
        await connect(running), trusted, server_hostname="127.0.0.1", https_compatible=True
    )
    with trio.fail_after(10):
        await stream.send_all(close_request("/secret"))
        answer = b""
        while not answer.endswith(b"GET /secret "):
            answer += await stream.receive_some(1000)
    await trio.aclose_forcefully(stream)
    assert answer.startswith(b"HTTP/1.1 200")
    nursery.cancel_scope.cancel()
