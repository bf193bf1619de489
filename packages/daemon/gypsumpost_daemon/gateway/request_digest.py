"""Digest that identifies a request across retries."""

import hashlib

DIGEST_BYTES = 12


def digest_request(method: str, path: str, workspace: str, body: bytes) -> bytes:
    """Return a digest of the parts of a request that stay the same when it is retried.

    :param method: HTTP method.
    :param path: path with the query.
    :param workspace: name of the workspace.
    :param body: the body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, path, workspace):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(body)
    return digest.digest()
