"""Messages between hosts, and the directory of hosts."""
