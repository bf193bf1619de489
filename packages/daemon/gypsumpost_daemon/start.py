"""First lines of the command ``gypsumpostd``."""

from gypsumpost_daemon.lifecycle.early_signals import record_signals


def main() -> None:
    """Record signals, then load the daemon and run it."""
    record_signals()
    from gypsumpost_daemon.main import main as run

    run()
