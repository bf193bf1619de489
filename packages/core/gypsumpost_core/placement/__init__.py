"""Placement of models on engines, and the lease under which orders are given."""
