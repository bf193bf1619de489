"""Tests of the checks."""
