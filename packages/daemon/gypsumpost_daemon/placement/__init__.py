"""Placement of models on the engines of a failure domain."""
