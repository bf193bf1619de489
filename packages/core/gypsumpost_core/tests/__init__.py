"""Tests of gypsumpost_core."""
