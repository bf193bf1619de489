"""Waiting prompts of this host and the prefill time of engines, shared by all hosts."""
