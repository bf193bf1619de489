"""The command ``gypsumpostd``."""

import os
import sys

import trio
from result import Err

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.settings.settings_reader import get_variable_name, read_settings
from gypsumpost_daemon.gateway.gateway_process import run_gateway
from gypsumpost_daemon.telemetry.log import Log, start_logging

USAGE_STATUS = 2
BROKEN_INVARIANT_STATUS = 70


def main() -> None:
    """Run the daemon of an entry host."""
    adapter = os.environ.get(get_variable_name("adapter"), "")
    if adapter and len(sys.argv) == 1:
        # Importing the modules of the other mode below takes most of the startup time.
        sys.exit(run_gateway(adapter))
    import defopt

    from gypsumpost_daemon.command_line import build_command
    from gypsumpost_daemon.settings import Settings

    command = build_command(
        Settings, "gypsumpostd", "Run the gypsumpost daemon of an entry host.", run_daemon
    )
    sys.exit(defopt.run(command, cli_options="all", show_defaults=False, short={}))


def run_daemon(flags: dict[str, str | None]) -> int:
    """Check the settings and run until a planned stop.

    :param flags: text of each flag, ``None`` for a flag that is not set.
    :returns: exit status.
    """
    from gypsumpost_daemon.daemon import serve_daemon
    from gypsumpost_daemon.settings import Settings
    from gypsumpost_daemon.settings_check import check_settings

    settings = read_settings(Settings, flags, os.environ)
    errors = settings.err_value if isinstance(settings, Err) else check_settings(settings.ok_value)
    if isinstance(settings, Err) or errors:
        for message in errors:
            print(f"gypsumpostd: {message}", file=sys.stderr)
        return USAGE_STATUS
    if settings.ok_value.adapter:
        return run_gateway(settings.ok_value.adapter)
    start_logging(settings.ok_value.host_id, settings.ok_value.log_file)
    status = 0
    try:
        trio.run(serve_daemon, settings.ok_value)
    except* BrokenInvariant as group:
        for error in group.exceptions:
            Log(prefix="daemon").write("stopped by a broken invariant", error=str(error))
        status = BROKEN_INVARIANT_STATUS
    return status
