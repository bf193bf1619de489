"""Workspaces and their keys from the settings, for a deployment without a platform."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class WorkspaceKeys:
    """Finds the workspace of a bearer key.

    :param workspaces: workspace by key.
    """

    workspaces: Mapping[str, str] = attrs.field(repr=False)

    def find_workspace(self, key: str) -> str | None:
        """Return the workspace that a key belongs to.

        :param key: the bearer key.
        """
        return self.workspaces.get(key)


def parse_workspace_keys(text: str) -> WorkspaceKeys:
    """Parse ``workspace=key`` pairs separated by commas.

    :param text: the value as text.
    """
    workspaces = {}
    for pair in filter(None, text.split(",")):
        workspace, separator, key = pair.partition("=")
        if not separator or not workspace or not key:
            raise ValueError(text)
        workspaces[key] = workspace
    return WorkspaceKeys(workspaces=workspaces)
