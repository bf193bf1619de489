"""Gateway logic without I/O: routing, endpoint selection, retries, resumption and failure state."""
