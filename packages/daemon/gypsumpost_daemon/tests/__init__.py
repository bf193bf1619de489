"""Tests of gypsumpost_daemon."""
