"""Stand-ins, demonstration and experiments."""
