"""An entry of the plans list."""

import hashlib

import attrs


@attrs.frozen(kw_only=True)
class WorkspacePlan:
    """A workspace with its plan.

    :param name: the workspace.
    :param plan: name of an entry of the allowances list.
    :param keys: SHA-256 digests of the workspace's bearer keys, in hexadecimal.
    """

    name: str
    plan: str
    keys: tuple[str, ...] = ()


def digest_key(bearer_key: str) -> str:
    """Return the digest of a bearer key as the plans list holds it.

    :param bearer_key: the key that a caller presents.
    """
    return hashlib.sha256(bearer_key.encode()).hexdigest()
