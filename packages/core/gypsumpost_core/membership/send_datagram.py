"""Decision to send a datagram."""

import attrs

from gypsumpost_core.membership.datagram import Datagram


@attrs.frozen(kw_only=True)
class SendDatagram:
    """Send a datagram.

    :param address: ``ip:port`` of the receiver.
    :param datagram: the datagram without the clock, which its encoder sets.
    """

    address: str
    datagram: Datagram
