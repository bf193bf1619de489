"""The client of the platform's key-value store."""
