"""Copies of generations on other hosts, and takeovers."""
