"""Admission under load, and shares of allowances."""
