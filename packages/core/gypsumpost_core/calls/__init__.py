"""Calls of plain services that may run at most once."""
