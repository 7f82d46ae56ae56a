"""Reasons for which a client's connection closes."""

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection closed; the values are names of counters and appear in the log."""

    CLIENT_DISCONNECTED = "client_left"  # the client closed, half-closed or reset the connection
    CONNECTION_CLOSE_SENT = "announced"  # after a response with Connection: close
    DRAIN = "drain"  # idle while the process drains or stops
    IDLE_TIMEOUT = "idle"  # idle, or lingering after its last response, for too long
    REQUEST_TIMEOUT = "request_timeout"  # its request was not received completely in time
    EVICTED = "evicted"  # its slot was needed for another connection
    RESPONSE_ABORTED = "broken_off"  # a response was aborted before its end
    WRITE_STALLED = "write_stalled"  # the client reads nothing of its response
    PROCESS_EXIT = "process_end"  # still established when the process exited


# Closes that this process decides on although the client could have gone on.
FORCED_CLOSE_REASONS = frozenset(
    (
        CloseReason.REQUEST_TIMEOUT,
        CloseReason.EVICTED,
        CloseReason.RESPONSE_ABORTED,
        CloseReason.WRITE_STALLED,
        CloseReason.PROCESS_EXIT,
    )
)
