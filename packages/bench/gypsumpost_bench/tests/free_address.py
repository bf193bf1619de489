"""Addresses for servers of tests."""

import socket


def find_free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
