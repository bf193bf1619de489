"""HTTP calls to endpoints, and reading of their load and cache events."""
