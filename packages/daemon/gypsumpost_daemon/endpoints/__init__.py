"""The operators' wishes for endpoints."""
