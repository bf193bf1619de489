"""One measured figure of an experiment."""

import attrs


@attrs.frozen(kw_only=True)
class ExperimentRow:
    """A figure with its target and its baseline from the same run.

    :param name: what was measured.
    :param unit: unit of the figures.
    :param figure: the measured figure.
    :param target: the stated target as text, empty if there is none.
    :param baseline: figure of the baseline in the same run, ``None`` if there is none.
    :param baseline_name: what the baseline is, empty if there is none.
    :param note: conditions of the measurement, for example the points of a fit.
    :param met: whether the target is met, ``None`` without a target.
    """

    name: str
    unit: str
    figure: float
    target: str = ""
    baseline: float | None = None
    baseline_name: str = ""
    note: str = ""
    met: bool | None = None
