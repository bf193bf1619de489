"""Constants by which engines are compared."""

STREAM_DELAY_SECONDS = 0.03
"""Delay of the first event caused by each stream that runs on the same engine."""

MEMORY_RATIO = 0.9
"""Share of an engine's memory that may be reserved; above it, engines preempt streams."""

SPREAD_SECONDS = 0.2
"""An engine that costs this much more than the cheapest one is chosen 2.7 times less often. Usage
that other hosts report is up to a second old, so hosts that all chose the cheapest engine would
send their prompts to the same one."""
