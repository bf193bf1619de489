"""State of a generation, and the rules for resuming it after a failure."""
