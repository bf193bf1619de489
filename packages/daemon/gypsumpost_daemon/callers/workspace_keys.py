"""Workspace keys from the settings, for a deployment without a platform."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class WorkspaceKeys:
    """Maps bearer keys to workspaces.

    :param workspaces: workspaces by key.
    """

    workspaces: Mapping[str, str] = attrs.field(repr=False)

    def find_workspace(self, key: str) -> str | None:
        """Return the workspace that a key belongs to, ``None`` if the key is unknown.

        :param key: the bearer key.
        """
        return self.workspaces.get(key)


def parse_workspace_keys(text: str) -> WorkspaceKeys:
    """Parse ``workspace=key`` pairs separated by commas.

    :param text: the value as text.
    :raises ValueError: if a pair has no workspace, no key or no equals sign.
    """
    workspaces = {}
    for pair in filter(None, text.split(",")):
        workspace, separator, key = pair.partition("=")
        if not separator or not workspace or not key:
            raise ValueError(text)
        workspaces[key] = workspace
    return WorkspaceKeys(workspaces=workspaces)
