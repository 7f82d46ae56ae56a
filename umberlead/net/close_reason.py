"""Why a client's connection ended."""

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection ended, for counters and the log."""

    CLIENT_DISCONNECTED = "client_left"  # it closed, reset or ended its sending
    CONNECTION_CLOSE_SENT = "announced"  # behind a reply that said so
    DRAIN = "drain"  # idle, as the process drains or ends
    IDLE_TIMEOUT = "idle"  # idle for too long, or lingering behind its last reply
    REQUEST_TIMEOUT = "request_timeout"  # its request did not come whole in time
    EVICTED = "evicted"  # another needs its place
    RESPONSE_ABORTED = "broken_off"  # the rest of its reply will not come
    WRITE_STALLED = "write_stalled"  # it reads nothing of its reply
    PROCESS_EXIT = "process_end"  # it stood as the process ended
