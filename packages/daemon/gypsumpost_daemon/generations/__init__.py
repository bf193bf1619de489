"""Tasks that run generations and stream their answers to callers."""
