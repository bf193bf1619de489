"""First lines of the command ``gypsumpostd``."""

from gypsumpost_daemon.lifecycle.early_signals import ignore_signals, record_signals


def main() -> None:
    """Record signals, then load the daemon and run it; ignore signals once it has ended."""
    record_signals()
    try:
        from gypsumpost_daemon.main import main as run

        run()
    finally:
        ignore_signals()
