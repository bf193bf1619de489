"""Runs the daemon as ``python -m gypsumpost_daemon``."""

from gypsumpost_daemon.main import main

main()
