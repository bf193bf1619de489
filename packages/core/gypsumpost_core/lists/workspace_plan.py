"""An entry of the plans list."""

import hashlib

import attrs


@attrs.frozen(kw_only=True)
class WorkspacePlan:
    """The plan and bearer keys of a workspace.

    :param name: the workspace.
    :param plan: name of an entry of the allowances list.
    :param keys: SHA-256 digests of the workspace's bearer keys, in hexadecimal.
    """

    name: str
    plan: str
    keys: tuple[str, ...] = ()


def compute_key_digest(bearer_key: str) -> str:
    """Return the SHA-256 digest of a bearer key in hexadecimal, as stored in the plans list.

    :param bearer_key: the caller's key.
    """
    return hashlib.sha256(bearer_key.encode()).hexdigest()
