"""Tasks that run generations and write them to callers."""
