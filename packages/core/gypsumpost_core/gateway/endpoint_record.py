"""Entry of an endpoint in the directory."""

import attrs


@attrs.frozen(kw_only=True)
class EndpointRecord:
    """One process of an endpoint, as the endpoint registered it.

    :param endpoint_id: id of the endpoint, which may stay the same after a restart.
    :param service: the service that it belongs to.
    :param address: ``ip:port``.
    :param failure_domain: its failure domain.
    :param slots: maximum number of concurrent requests.
    :param leaving: true if it accepts no new requests.
    :param started_at: Unix milliseconds at which the process started; identifies the process.
    :param version: version of its software, empty if it names none.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    started_at: int
    version: str = ""

    @property
    def process_key(self) -> str:
        """Text that identifies the process among all processes of all endpoints."""
        return f"{self.endpoint_id}/{self.started_at}"
