"""Replication of generations to other hosts, and takeover from these copies."""
