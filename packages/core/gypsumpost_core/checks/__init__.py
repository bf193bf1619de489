"""Checks of a configuration or a list before an operator sends it."""
