"""Decisions about memory, connections and progress when callers ask for more than a host has."""
