"""Tests of roll-outs on a host."""
