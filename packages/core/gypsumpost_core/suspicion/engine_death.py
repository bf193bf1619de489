"""The death of an engine, which counts against the requests that it ran."""

import attrs


@attrs.frozen(kw_only=True)
class EngineDeath:
    """One death of an engine process.

    :param engine: name of the engine.
    :param boot_id: boot id of the process that died. Name and boot id identify the death, so that
        a death observed by several daemons is counted once.
    :param died_at: Unix time of the death in seconds.
    """

    engine: str
    boot_id: str
    died_at: float

    def get_key(self) -> tuple[str, str]:
        """Return the engine's name and boot id, which identify the death."""
        return self.engine, self.boot_id
