"""Tests of gypsumpost_bench."""
