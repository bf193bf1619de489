"""The operators' two lists: plans and allowances."""
