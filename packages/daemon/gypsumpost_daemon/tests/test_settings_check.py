"""Tests of the checks of settings at startup."""

import io

import eliot
import pytest
import trio
import trio.testing
from result import Err, Ok

from gypsumpost_core.settings.settings_reader import read_settings
from gypsumpost_daemon.daemon import Daemon
from gypsumpost_daemon.main import run_daemon
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.settings_check import check_settings
from gypsumpost_daemon.tests.certificates import write_certificate
from gypsumpost_daemon.tests.test_keys_reload import perform_handshake

FILES = [
    "host_list_file",
    "peer_key_file",
    "admin_key_file",
    "tls_cert_file",
    "tls_key_file",
    "peer_tls_cert_file",
    "peer_tls_key_file",
    "peer_tls_ca_file",
]
BASE = {"workspace_keys": "w1=caller-secret"}


def find_errors(**flags):
    settings = read_settings(Settings, BASE | flags, {})
    if isinstance(settings, Err):
        return settings.err_value
    return check_settings(settings.ok_value)


@pytest.mark.parametrize("name", FILES)
def test_file_that_cannot_be_read_is_refused(name, tmp_path):
    """Guards against a daemon that stops with a traceback after startup."""
    path = str(tmp_path / "missing")
    (error,) = find_errors(**{name: path})
    flag = "--" + name.replace("_", "-")
    assert error.startswith(f"{flag}: {path!r} is not accepted; accepted: path of a readable")


@pytest.mark.parametrize(
    ("flags", "refused"),
    [
        ({}, []),
        ({"workspace_keys": ""}, ["--workspace-keys"]),
        (
            {"admin_address": "127.0.0.1:1"},
            ["--admin-key-file", "--platform-address"],
        ),
        ({"admin_address": "127.0.0.1:1", "platform_address": "127.0.0.1:2"}, ["--admin-key-file"]),
        ({"tls_cert_file": "cert"}, ["--tls-key-file"]),
        ({"tls_key_file": "key"}, ["--tls-cert-file"]),
        ({"tls_cert_file": "cert", "tls_key_file": "key"}, []),
        ({"tls_cert_file": "cert", "tls_key_file": "other"}, ["--tls-key-file"]),
        ({"tls_cert_file": "text", "tls_key_file": "key"}, ["--tls-cert-file"]),
        ({"tls_cert_file": "cert", "tls_key_file": "text"}, ["--tls-key-file"]),
        (
            {"peer_tls_cert_file": "cert"},
            ["--peer-tls-key-file", "--peer-tls-ca-file"],
        ),
        (
            {"peer_tls_cert_file": "cert", "peer_tls_key_file": "key", "peer_tls_ca_file": "cert"},
            [],
        ),
        (
            {"peer_tls_cert_file": "cert", "peer_tls_key_file": "key", "peer_tls_ca_file": "text"},
            ["--peer-tls-ca-file"],
        ),
        ({"peer_key_file": "empty"}, ["--peer-key-file"]),
    ],
)
def test_wrong_combinations_and_contents_are_refused(flags, refused, tmp_path):
    """Guards against settings that are ignored or fail only at their first use."""
    write_certificate(tmp_path / "cert", tmp_path / "key")
    write_certificate(tmp_path / "other-cert", tmp_path / "other")
    (tmp_path / "text").write_text("no certificate")
    (tmp_path / "empty").write_text("\n")
    flags = {n: str(tmp_path / v) if n.endswith("file") else v for n, v in flags.items()}
    errors = find_errors(**flags)
    assert [error.partition(":")[0] for error in errors] == refused
    assert all("; accepted: " in error for error in errors)


def test_wrong_settings_end_the_command(capsys):
    """Guards against a daemon that starts with invalid settings."""
    assert run_daemon({"workspace_keys": "caller-secret", "host_id": "h"}) == 2
    assert run_daemon({"workspace_keys": ""}) == 2
    output = capsys.readouterr()
    assert "--workspace-keys" in output.err
    assert "caller-secret" not in output.err + output.out


async def test_keys_are_not_logged(tmp_path, autojump_clock):
    """Guards against keys in logs and in the printed form of settings."""
    cert, key = tmp_path / "cert", tmp_path / "key"
    write_certificate(cert, key)
    shared = tmp_path / "shared"
    shared.write_text("shared-secret")
    settings = read_settings(
        Settings,
        BASE
        | {
            "peer_key_file": str(shared),
            "tls_cert_file": str(cert),
            "tls_key_file": str(key),
            "gossip_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
        },
        {},
    )
    assert isinstance(settings, Ok)
    log = io.StringIO()
    destination = eliot.FileDestination(file=log)
    eliot.add_destinations(destination)
    try:
        daemon = Daemon(settings=settings.ok_value)
        with trio.move_on_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(daemon._keys.run)
                await nursery.start(daemon._network.run)
                await trio.sleep(1)
                shared.write_text("next-secret")
                key.write_text("broken-secret")
                await trio.sleep(3)
                assert await perform_handshake(daemon._keys.ring, b"shared-secret")
                assert not await perform_handshake(daemon._keys.ring, b"wrong-secret")
                nursery.cancel_scope.cancel()
        eliot.log_message("settings", settings=repr(settings.ok_value))
    finally:
        eliot.remove_destination(destination)
    text = log.getvalue()
    assert "keys: loaded changed files" in text
    assert "keys: changed files not loaded" in text
    assert "-secret" not in text
    assert "PRIVATE KEY" not in text
