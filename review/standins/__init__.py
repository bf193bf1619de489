"""Stand-ins for the platform, the servers and the clients, on the standard library only."""
