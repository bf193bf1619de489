"""The failure of a command."""

import attrs

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 2
EXIT_UNKNOWN = 3


@attrs.frozen(kw_only=True)
class CommandFailure:
    """Why a command failed.

    :param message: text for the person at the terminal.
    :param exit_code: exit status of the process: 1 if the command was refused, 2 if nothing
        happened because a daemon or file was not reached, 3 if the outcome is not known.
    """

    message: str
    exit_code: int
