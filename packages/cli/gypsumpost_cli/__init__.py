"""The command line for callers, operators and measurement."""
