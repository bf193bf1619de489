"""Messages between hosts, and which hosts there are."""
