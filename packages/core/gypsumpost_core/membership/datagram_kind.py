"""Kinds of membership datagrams."""

import enum


class DatagramKind(enum.Enum):
    """Message type of a datagram."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    PING_REQUEST_TAKEN = 3
    SYNC_REQUEST = 4
    SYNC_REPLY = 5
    GOSSIP = 6
