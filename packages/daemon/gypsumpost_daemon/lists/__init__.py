"""Storage, editing and replication of the operators' lists."""
