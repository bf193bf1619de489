"""Scenario of one run of the experiment ``resume``."""

import enum

import attrs


class ResumeFault(enum.Enum):
    """The process that fails, and how."""

    KILL_ENGINE = "SIGKILL of an engine"
    KILL_DAEMON = "SIGKILL of a daemon"
    PAUSE_ENGINE = "SIGSTOP of an engine"
    PAUSE_DAEMON = "SIGSTOP of a daemon"

    @property
    def affects_engine(self) -> bool:
        """True if an engine fails, false if a daemon does."""
        return self in (ResumeFault.KILL_ENGINE, ResumeFault.PAUSE_ENGINE)

    @property
    def pauses(self) -> bool:
        """True if the process is stopped and later continues."""
        return self in (ResumeFault.PAUSE_ENGINE, ResumeFault.PAUSE_DAEMON)


@attrs.frozen(kw_only=True)
class ResumeScenario:
    """One deployment, one load and one fault.

    :param fault: the fault that is injected while the answers are generated.
    :param condition: effect of the daemon flags, for the names of the rows.
    :param flags: flags of the daemons.
    :param streaming: false for answers that are returned whole.
    :param answers: number of concurrent answers.
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
