"""Tokens of the simulator's protocol and the scheduler's values that they stand for."""

from umberlead.scheduling.events import AttemptResult, EndpointStatus

ENDPOINT_STATUS_BY_TOKEN = {
    "live": EndpointStatus.UP,
    "quiescing": EndpointStatus.DRAINING,
    "dead": EndpointStatus.GONE,
}
ATTEMPT_RESULT_BY_TOKEN = {
    "pass": AttemptResult.OK,
    "fault": AttemptResult.ERROR,
    "no_room": AttemptResult.REJECTED,
    "too_slow": AttemptResult.TIMEOUT,
    "no_route": AttemptResult.CONNECT_FAILED,
    "cut": AttemptResult.RESET,
    "undone": AttemptResult.CANCELLED,
    "stale_send": AttemptResult.NOT_SENT,
}
NO_VALUE = "-"
TRUE_TOKENS = ("true", "1")
LIST_FAILED_TOKEN = "X"  # in the position of the kind of a list
PARTIAL_LIST_TOKEN = "D"
CLIENT_RETRY_BIT = 2  # of a request's flags
