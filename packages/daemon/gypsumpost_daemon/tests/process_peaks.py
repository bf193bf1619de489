"""Peaks of the memory and descriptors of a process, from ``/proc``."""

import os
from pathlib import Path

import attrs
import trio

SAMPLE_SECONDS = 0.05
RESERVED_DESCRIPTORS = 200
"""Descriptors that a platform keeps for files; sockets share the others."""

MEBIBYTE = 1 << 20


@attrs.define(kw_only=True)
class ProcessPeaks:
    """Samples the descriptors of a process and reads the peak of its memory.

    :param process_id: the process.
    :param sockets: most sockets that were open at once, as sampled.
    :param descriptors: most descriptors that were open at once, as sampled.
    """

    process_id: int
    sockets: int = attrs.field(default=0, init=False)
    descriptors: int = attrs.field(default=0, init=False)

    async def run(self) -> None:
        """Sample the descriptors until cancelled."""
        while True:
            self.sample_descriptors()
            await trio.sleep(SAMPLE_SECONDS)

    def sample_descriptors(self) -> None:
        """Record how many descriptors are open."""
        names = [read_link(path) for path in Path(f"/proc/{self.process_id}/fd").iterdir()]
        sockets = sum(name.startswith("socket:") for name in names)
        self.sockets = max(self.sockets, sockets)
        self.descriptors = max(self.descriptors, len(names))

    def read_memory_mb(self) -> float:
        """Return the peak of the resident memory in MB."""
        status = Path(f"/proc/{self.process_id}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 / MEBIBYTE

    def check(self, memory_mb: int, max_fds: int) -> None:
        """Check that the process has stayed within the limits of its machine.

        :param memory_mb: memory of the machine in MB.
        :param max_fds: descriptors that the process may open.
        """
        peak = self.read_memory_mb()
        assert peak < memory_mb, f"{peak:.0f} MB of {memory_mb}"
        assert self.descriptors <= max_fds, f"{self.descriptors} descriptors of {max_fds}"
        most = max_fds - RESERVED_DESCRIPTORS
        assert self.sockets <= most, f"{self.sockets} sockets of {most}"


def read_link(path: Path) -> str:
    """Return what a descriptor refers to, empty if it was closed meanwhile.

    :param path: its path under ``/proc``.
    """
    try:
        return os.readlink(path)
    except OSError:
        return ""
