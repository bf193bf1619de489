"""Runs the daemon as ``python -m gypsumpost_daemon``."""

from gypsumpost_daemon.start import main

main()
