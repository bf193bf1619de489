"""Workspace and its API keys."""

import attrs


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer's account.

    :param name: name of the workspace, which is passed to endpoints.
    :param keys: API keys with which its callers authenticate.
    :param priority: priority that overrides that of the route, ``None`` to use the route's.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
