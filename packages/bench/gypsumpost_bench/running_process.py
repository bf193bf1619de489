"""A process that the bench started."""

import os
import signal
import subprocess
from pathlib import Path

import attrs


@attrs.define(kw_only=True)
class RunningProcess:
    """A process with the address it serves.

    :param name: name of the stand-in or host.
    :param address: ``ip:port`` of its HTTP interface.
    :param process: the process.
    :param command: program and arguments.
    :param incarnation: number of the start under this address, from 1.
    """

    name: str
    address: str
    process: subprocess.Popen[bytes]
    command: list[str]
    incarnation: int = 1

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has exited."""
        self.process.kill()
        self.process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP until :meth:`resume`."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        os.kill(self.process.pid, signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited.

        :param number: the signal.
        """
        self.process.send_signal(number)

    def has_handler(self, number: signal.Signals) -> bool:
        """Return true if the process handles a signal itself.

        :param number: the signal.
        """
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt"))
        return bool(int(caught.split()[1], 16) >> (number - 1) & 1)

    def stop(self) -> None:
        """Request a planned stop with SIGTERM; does not wait for it."""
        self.process.terminate()
