"""The command ``gypsumpostd``."""

import os
import sys

import defopt
import trio
from result import Err

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.settings_reader import read_settings
from gypsumpost_daemon.command_line import build_command
from gypsumpost_daemon.daemon import Daemon
from gypsumpost_daemon.garbage_collector import configure_collector
from gypsumpost_daemon.log import Log, start_logging
from gypsumpost_daemon.settings import Settings

USAGE_STATUS = 2
BROKEN_INVARIANT_STATUS = 70


def main() -> None:
    """Run the daemon of an entry host."""
    command = build_command(
        Settings, "gypsumpostd", "Run the gypsumpost daemon of an entry host.", run_daemon
    )
    sys.exit(defopt.run(command, cli_options="all", show_defaults=False, short={}))


def run_daemon(flags: dict[str, str | None]) -> int:
    """Check the settings and run until a planned stop.

    :param flags: text of each flag, ``None`` for a flag that was not given.
    :returns: exit status.
    """
    settings = read_settings(Settings, flags, os.environ)
    if isinstance(settings, Err):
        for message in settings.err_value:
            print(f"gypsumpostd: {message}", file=sys.stderr)
        return USAGE_STATUS
    start_logging(settings.ok_value.host_id, settings.ok_value.log_file)
    daemon = Daemon(settings=settings.ok_value)
    configure_collector()
    status = 0
    try:
        trio.run(daemon.run)
    except* BrokenInvariant as group:
        for error in group.exceptions:
            Log(prefix="daemon").write("stopped by a broken invariant", error=str(error))
        status = BROKEN_INVARIANT_STATUS
    return status
