"""Identity of a loaded model."""

import attrs


@attrs.frozen(kw_only=True)
class ModelRef:
    """A model with its version and adapter.

    A continuation of a generation runs only on an engine that has loaded the same reference.

    :param model: name of the model as used by callers.
    :param version: version of the weights.
    :param adapter: name of the adapter, empty for none.
    """

    model: str
    version: str = "1"
    adapter: str = ""

    def __str__(self) -> str:
        return ":".join(part for part in (self.model, self.version, self.adapter) if part)
