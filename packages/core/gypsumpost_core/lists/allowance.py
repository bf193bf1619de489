"""An entry of the allowances list."""

import attrs


@attrs.frozen(kw_only=True)
class Allowance:
    """The limits for each workspace of a plan.

    :param name: the plan.
    :param models: names of the models that it may use.
    :param services: names of the plain services that it may call.
    :param requests_per_second: accepted requests per second.
    :param tokens_per_second: generated tokens per second.
    :param concurrent_generations: generations that may run at the same time.
    :param priority: higher values start first.
    :param deadline_seconds: maximum duration of a request.
    """

    name: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    requests_per_second: float
    tokens_per_second: float
    concurrent_generations: int
    priority: int = 0
    deadline_seconds: float
