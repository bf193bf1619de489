"""Generations: what counts, what is shown, and how they go on after a loss."""
