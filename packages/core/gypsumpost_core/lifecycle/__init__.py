"""Phases of a process and what signals do in them."""
