"""Encoding of the evidence about crash-causing requests in messages between hosts."""
