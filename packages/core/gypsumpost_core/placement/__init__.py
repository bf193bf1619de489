"""Placement of models on engines, and the lease that permits sending orders to engines."""
