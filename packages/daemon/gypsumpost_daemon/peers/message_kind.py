"""Kinds of peer messages."""

import enum


class MessageKind(enum.IntEnum):
    """The kind field of a frame between two daemons."""

    REPLY = 1
    OPEN_COPY = 10
    APPEND_COPIES = 11
    CLOSE_COPY = 12
    TAKE_OVER = 13
    REGISTER_KEY = 14
    CANCEL_GENERATION = 15
    CLAIM_CALLS = 20
    RUN_ISSUED_CALL = 21
    RENEW_CLAIMS = 22
    LIST_CHANGES = 30
    LIST_REVISION = 31
    REPORT_DEMAND = 40
    TAKE_PERMIT = 41
    ENDPOINT_SIGNALS = 42
    QUARANTINE = 50
    ENDPOINT_LEAVING = 51
    DIRECTORY_STATE = 60
    STREAM_STATE = 61
    PREFILL_TURN = 62
    STREAM_MEMORY = 63
