"""Connections to endpoints, and what they tell of themselves."""
