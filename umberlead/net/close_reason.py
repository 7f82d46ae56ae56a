"""Reasons for which a client's connection ends."""

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection ended; the values are names of counters and appear in the log."""

    CLIENT_DISCONNECTED = "client_left"  # the client closed, reset or ended its sending
    CONNECTION_CLOSE_SENT = "announced"  # behind a response with Connection: close
    DRAIN = "drain"  # idle, as the process drains or ends
    IDLE_TIMEOUT = "idle"  # idle or lingering for too long
    REQUEST_TIMEOUT = "request_timeout"  # its request was not received completely in time
    EVICTED = "evicted"  # another connection needs its slot
    RESPONSE_ABORTED = "broken_off"  # the remainder of its response will not arrive
    WRITE_STALLED = "write_stalled"  # the client reads nothing of its response
    PROCESS_EXIT = "process_end"  # still established as the process exited
