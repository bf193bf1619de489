"""Entry point of ``gypsumpost``."""

import importlib
import sys
from collections.abc import Sequence

import defopt
from result import Err

from gypsumpost_cli.command_registry import COMMANDS

COMMAND_MODULES = (
    "list_commands",
    "edit_commands",
    "endpoint_commands",
    "status_commands",
    "timeline_commands",
    "load_commands",
    "check_commands",
)
"""Modules of this package that register commands when they are imported."""


def run_command(arguments: Sequence[str]) -> int:
    """Run one command and return the exit status.

    :param arguments: the command line without the program's name.
    """
    for module in COMMAND_MODULES:
        importlib.import_module(f"gypsumpost_cli.{module}")
    outcome = defopt.run(
        COMMANDS.get_commands(),
        argv=list(arguments),
        argparse_kwargs={"prog": "gypsumpost"},
        no_negated_flags=True,
    )
    if isinstance(outcome, Err):
        if outcome.err_value.output:
            print(outcome.err_value.output)
        print(f"gypsumpost: {outcome.err_value.message}", file=sys.stderr)
        return outcome.err_value.exit_code
    print(outcome.ok_value)
    return 0


def main() -> None:
    """Run the command given by the arguments of the process and exit with its status."""
    sys.exit(run_command(sys.argv[1:]))
