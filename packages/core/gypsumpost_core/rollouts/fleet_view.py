"""What a decider knows of the fleet that serves a roll-out."""

import attrs


@attrs.frozen(kw_only=True)
class FleetView:
    """What a decider knows of the hosts and endpoints of a service.

    :param service_known: true if the configuration has the service.
    :param target_endpoints: endpoints of the target version that accept requests.
    :param other_endpoints: endpoints of other versions that are not barred.
    :param other_requests: requests and streams that run on other versions, over all hosts.
    :param missing_hosts: hosts whose reports the decider lacks.
    :param hosts: hosts of the deployment.
    """

    service_known: bool
    target_endpoints: int
    other_endpoints: int
    other_requests: int
    missing_hosts: int
    hosts: int
