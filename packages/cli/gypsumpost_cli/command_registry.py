"""The commands of ``gypsumpost``."""

from collections.abc import Callable
from typing import Any

from result import Result

from gypsumpost_cli.command_failure import CommandFailure

Command = Callable[..., Result[str, CommandFailure]]
"""Returns the text to print, or the failure; defopt derives the flags from its signature."""


class CommandRegistry:
    """Commands by group and name."""

    def __init__(self) -> None:
        self._commands: dict[str, Any] = {}

    def register(self, name: str, group: str = "") -> Callable[[Command], Command]:
        """Return a decorator that adds a command.

        :param name: name of the command.
        :param group: name of the group that precedes it, empty for a command without a group.
        """

        def add_command(command: Command) -> Command:
            commands = self._commands.setdefault(group, {}) if group else self._commands
            if name in commands:
                raise ValueError(f"the command {group} {name} is registered twice")
            commands[name] = command
            return command

        return add_command

    def get_commands(self) -> dict[str, Any]:
        """Return the mapping that defopt expects, from names to functions or groups."""
        return self._commands


COMMANDS = CommandRegistry()
