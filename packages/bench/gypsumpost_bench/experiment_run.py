"""Result of one run of an experiment."""

import attrs

from gypsumpost_bench.experiment_row import ExperimentRow


@attrs.frozen(kw_only=True)
class ExperimentRun:
    """The rows of an experiment, or why there are none.

    :param name: name of the experiment.
    :param rows: its figures.
    :param seconds: how long it ran.
    :param error: why it failed, empty if it did not.
    """

    name: str
    rows: list[ExperimentRow]
    seconds: float
    error: str = ""
