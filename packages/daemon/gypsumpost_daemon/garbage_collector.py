"""Settings of Python's garbage collector for a process that must not pause."""

import gc

YOUNG_OBJECTS = 20_000
YOUNG_PER_MIDDLE = 20
MIDDLE_PER_FULL = 100


def configure_collector() -> None:
    """Keep full collections short and rare; call once, when all modules are loaded.

    With Python's defaults a full collection of the relay took 46 ms, longer than the time between
    two tokens. Most of it went into modules and classes, which are never garbage and are left out
    after ``freeze``.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_PER_MIDDLE, MIDDLE_PER_FULL)
