"""Tests of the lifecycle of a process."""
