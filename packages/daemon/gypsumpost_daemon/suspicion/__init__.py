"""Reports of requests that crash engines."""
