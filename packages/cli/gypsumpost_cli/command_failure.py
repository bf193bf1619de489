"""The failure of a command and the exit statuses."""

import attrs

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 2
EXIT_UNKNOWN = 3


@attrs.frozen(kw_only=True)
class CommandFailure:
    """Why a command failed.

    :param message: text for the operator, printed to standard error.
    :param exit_code: exit status of the process: 1 if the command was refused; 2 if a
        daemon or file was not reached or a wait timed out, with nothing changed unless the
        message says that a change was accepted; 3 if the outcome is not known.
    :param output: text for standard output, empty for none.
    """

    message: str
    exit_code: int
    output: str = ""
