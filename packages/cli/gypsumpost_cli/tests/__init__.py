"""Tests of gypsumpost_cli."""
