"""Calls of plain services, claims and issued keys."""
