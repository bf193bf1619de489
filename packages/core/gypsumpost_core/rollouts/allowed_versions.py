"""Versions that a request may go to."""

import attrs


@attrs.frozen(kw_only=True)
class AllowedVersions:
    """Versions that a request may go to.

    :param preferred: versions to try first.
    :param fallback: versions to try if no endpoint of a preferred version can take the request.
    :param exposes: true if the preferred version has no verdict yet. A request that is sent to it
        has to be reported with :meth:`VersionChoice.record_exposure`.
    """

    preferred: frozenset[str]
    fallback: frozenset[str] = frozenset()
    exposes: bool = False
