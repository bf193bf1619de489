"""Runs ``python -m gypsumpost_cli``."""

from gypsumpost_cli.main import main

main()
