"""HTTP servers and the ASGI interface."""
