"""Rendezvous hashing: which hosts are responsible for a key."""

from collections.abc import Iterable

import xxhash

from gypsumpost_core.host import Host


def rank_hosts(key: str, hosts: Iterable[Host]) -> list[Host]:
    """Order hosts by their weight for a key, the responsible host first.

    Daemons with the same view of the live hosts compute the same order without communication, and
    the loss of a host moves only the keys that it was responsible for.

    :param key: the key that needs a responsible host.
    :param hosts: the candidates.
    """
    return sorted(hosts, key=lambda host: _compute_weight(key, host.host_id), reverse=True)


def _compute_weight(key: str, host_id: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{host_id}\0{key}".encode()), host_id
