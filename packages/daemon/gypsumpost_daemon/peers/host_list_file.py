"""Reads the list of hosts and endpoints from a file, for trials without a platform."""

from pathlib import Path

from result import Err

from gypsumpost_daemon.peers.host_list_parser import parse_host_list
from gypsumpost_daemon.peers.host_list_snapshot import HostListSnapshot


def parse_host_list_file(path: str) -> HostListSnapshot:
    """Read a file in the format of the platform's response to ``GET /v1/hosts``.

    :param path: path of the file, empty for an empty list.
    :raises ValueError: if the file cannot be read or an entry is malformed.
    """
    if not path:
        return HostListSnapshot()
    try:
        parsed = parse_host_list(Path(path).read_bytes())
    except OSError as error:
        raise ValueError(path) from error
    if isinstance(parsed, Err) or parsed.ok_value.rejected:
        raise ValueError(path)
    return parsed.ok_value
