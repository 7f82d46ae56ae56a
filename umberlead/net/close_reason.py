"""Why a client's connection ended."""

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection ended, for counters and the log."""

    CLIENT_LEFT = "client_left"  # it closed, reset or ended its sending
    ANNOUNCED = "announced"  # behind a reply that said so
    DRAIN = "drain"  # idle, as the process drains or ends
    IDLE = "idle"  # idle for too long, or lingering behind its last reply
    REQUEST_TIMEOUT = "request_timeout"  # its request did not come whole in time
    EVICTED = "evicted"  # another needs its place
    BROKEN_OFF = "broken_off"  # the rest of its reply will not come
    WRITE_STALLED = "write_stalled"  # it reads nothing of its reply
    PROCESS_END = "process_end"  # it stood as the process ended
