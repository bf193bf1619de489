"""Processor time and memory of a process, from ``/proc``."""

import os
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")


def read_processor_time(process_id: int) -> float:
    """Return the user and system time that a process has used, in seconds.

    :param process_id: the process.
    """
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process in bytes.

    :param process_id: the process.
    """
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
