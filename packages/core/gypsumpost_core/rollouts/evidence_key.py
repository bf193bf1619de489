"""What a count of evidence is about."""

import attrs


@attrs.frozen(kw_only=True, cache_hash=True)
class EvidenceKey:
    """What a count of evidence is about.

    :param service: name of the service.
    :param version: version of the endpoints.
    :param route: id of the route.
    :param window: number of the time window, ``Unix milliseconds // WINDOW_MS``.
    :param group: number of the endpoint's group, 0 for versions that serve as the old ones. A fault
        in one group only is the fault of an endpoint and not of a version.
    """

    service: str
    version: str
    route: str
    window: int
    group: int
