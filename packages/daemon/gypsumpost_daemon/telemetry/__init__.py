"""Logs, metrics and time lines."""
