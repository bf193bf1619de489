"""The death of an engine as evidence against requests."""

import attrs


@attrs.frozen(kw_only=True)
class EngineDeath:
    """One death of an engine process.

    :param engine: name of the engine.
    :param boot_id: boot id of the process that died; with the name it identifies the death, so
        that daemons that saw the same death count it once.
    :param died_at: Unix time of the death in seconds.
    """

    engine: str
    boot_id: str
    died_at: float

    def get_key(self) -> tuple[str, str]:
        """Return what identifies the death."""
        return self.engine, self.boot_id
