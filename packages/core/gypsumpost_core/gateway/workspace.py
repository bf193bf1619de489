"""A workspace and its keys."""

import attrs


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer's account.

    :param name: name of the workspace, as endpoints get it.
    :param keys: the keys with which its callers prove who they are.
    :param priority: rank that goes before that of the route, ``None`` if it has none.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
