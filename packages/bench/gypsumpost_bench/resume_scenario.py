"""What one run of the experiment ``resume`` does."""

import enum

import attrs


class ResumeFault(enum.Enum):
    """The process that fails, and how."""

    KILL_ENGINE = "SIGKILL of an engine"
    KILL_DAEMON = "SIGKILL of a daemon"
    PAUSE_ENGINE = "SIGSTOP of an engine"
    PAUSE_DAEMON = "SIGSTOP of a daemon"

    @property
    def hits_engine(self) -> bool:
        """True if an engine fails, false if a daemon does."""
        return self in (ResumeFault.KILL_ENGINE, ResumeFault.PAUSE_ENGINE)

    @property
    def pauses(self) -> bool:
        """True if the process is woken again."""
        return self in (ResumeFault.PAUSE_ENGINE, ResumeFault.PAUSE_DAEMON)


@attrs.frozen(kw_only=True)
class ResumeScenario:
    """One deployment, one load and one fault.

    :param fault: what happens while the answers are written.
    :param condition: what the daemon flags change, for the names of the rows.
    :param flags: flags of the daemons.
    :param streaming: false for whole answers.
    :param answers: concurrent answers.
    :param tokens: tokens of each answer.
    :param fault_after: seconds from the first request to the fault.
    :param pause: seconds from SIGSTOP to SIGCONT.
    """

    fault: ResumeFault
    condition: str = ""
    flags: tuple[str, ...] = ()
    streaming: bool = True
    answers: int = 48
    tokens: int = 150
    fault_after: float = 3.5
    pause: float = 4.0

    @property
    def name(self) -> str:
        """Name of the scenario in the rows."""
        return f"{self.fault.value}, {self.condition}" if self.condition else self.fault.value
