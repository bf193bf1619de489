"""Signals of the process from its first line to its exit."""
