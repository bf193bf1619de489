"""Addresses of the form ``ip:port``."""


def split_address(address: str) -> tuple[str, int]:
    """Split an address into IP and port.

    :param address: ``ip:port``, an IPv6 address in brackets.
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
