"""What a host has last said about itself."""

import attrs


@attrs.frozen(kw_only=True)
class HostReport:
    """State of a host that decides about its duties.

    :param host_id: the host.
    :param failure_domain: its failure domain.
    :param link_mbps: bandwidth of its link in Mbit/s.
    :param watching: true if it watches the store and the store answers.
    :param store_lost: true if it asks the store and gets no answer.
    """

    host_id: str
    failure_domain: str
    link_mbps: int
    watching: bool = False
    store_lost: bool = False
