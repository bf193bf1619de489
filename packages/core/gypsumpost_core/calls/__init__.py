"""Service calls that may run at most once."""
