"""The operators' lists: reading, editing and exchange."""
