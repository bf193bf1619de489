"""State that a host reports about itself."""

import attrs


@attrs.frozen(kw_only=True)
class HostReport:
    """State of a host from which its roles in the domain are computed.

    :param host_id: the host.
    :param failure_domain: its failure domain.
    :param link_mbps: bandwidth of its link in Mbit/s.
    :param watching: true if it watches the store and the store answers.
    :param store_lost: true if it queries the store and gets no answer.
    """

    host_id: str
    failure_domain: str
    link_mbps: int
    watching: bool = False
    store_lost: bool = False
