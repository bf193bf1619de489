"""The two lists that operators edit: plans and allowances."""
