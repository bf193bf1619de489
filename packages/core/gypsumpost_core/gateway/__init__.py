"""Decisions of the gateway: routes, endpoints, attempts, resumption, membership of endpoints."""
