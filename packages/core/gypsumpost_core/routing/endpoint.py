"""A back end to which requests are sent."""

import attrs

from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class Endpoint:
    """A model engine or a plain service.

    :param name: unique name within the deployment.
    :param kind: engine or service.
    :param address: ``host:port`` of its HTTP interface.
    :param failure_domain: name of its failure domain.
    :param status: whether it may receive new requests.
    :param models: model references that an engine has loaded.
    :param service: name of the service that a plain service provides, empty for an engine.
    :param checks_fencing: true if it rejects orders with an outdated fencing token.
    """

    name: str
    kind: EndpointKind
    address: str
    failure_domain: str
    status: EndpointStatus = EndpointStatus.LIVE
    models: tuple[ModelRef, ...] = ()
    service: str = ""
    checks_fencing: bool = False
