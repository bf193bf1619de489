"""Paces the prompts that the hosts of a deployment send to engines with scarce memory."""
