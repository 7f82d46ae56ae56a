"""Converts lines of the simulator's protocol to events, and actions to lines.

Lines are split at single spaces; the token `-` stands for no value. Malformed lines raise IndexError,
ValueError or KeyError.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from umberlead.scheduling.actions import (
    Action,
    Cancel,
    Fail,
    HealthCheck,
    LogNote,
    Reject,
    Send,
    SetTimer,
    WatchEndpoints,
)
from umberlead.scheduling.events import (
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListFailed,
    Event,
    HealthCheckResult,
    Outcome,
    Request,
    ResponseStarted,
    TimerExpired,
)
from umberlead.simulator_adapter.errors import SimulatorProtocolError
from umberlead.simulator_adapter.wire_tables import (
    ATTEMPT_RESULT_BY_TOKEN,
    CLIENT_RETRY_BIT,
    ENDPOINT_STATUS_BY_TOKEN,
    LIST_FAILED_TOKEN,
    NO_VALUE,
    PARTIAL_LIST_TOKEN,
    TRUE_TOKENS,
)


@dataclass(slots=True)
class ParsingContext:
    """State that the lines for an instance refer to.

    Attributes:
        load_report_fields: names of the values of the instance's load reports, in their order.
        endpoint_lists: the received endpoint lists by number; all instances share them.
    """

    load_report_fields: list[str]
    endpoint_lists: dict[int, tuple[Endpoint, ...]] = field(default_factory=dict)


def parse_setting_pairs(tokens: list[str]) -> dict[str, str]:
    """Return settings by path, from tokens of the form PATH=VALUE.

    Raises:
        SimulatorProtocolError: a token has no value.
    """
    pairs = {}
    for token in tokens:
        path, equals, value = token.partition("=")
        if not equals:
            raise SimulatorProtocolError(f"setting without a value: {token}")
        pairs[path] = value
    return pairs


def parse_bool(text: str) -> bool:
    """Return whether a token means true."""
    return text in TRUE_TOKENS


def parse_optional_int(text: str) -> int:
    """Return an integer; 0 if the token stands for no value."""
    return 0 if text == NO_VALUE else int(text)


def parse_listed_endpoint(tokens: list[str]) -> Endpoint:
    """Read `item NAME STATUS _ SHARD _ [STARTED_US]`, a line of an endpoint list."""
    return Endpoint(
        name=tokens[1],
        status=ENDPOINT_STATUS_BY_TOKEN[tokens[2]],
        shard=-1 if tokens[4] == NO_VALUE else int(tokens[4]),
        started_us=parse_optional_int(tokens[6]) if len(tokens) > 6 else 0,
    )


def parse_load_report(text: str, field_names: list[str]) -> dict[str, float]:
    """Return a load report's values by name, from comma-separated values."""
    if text == NO_VALUE:
        return {}
    named_values = zip(field_names, text.split(","), strict=False)
    return {name: float(value) for name, value in named_values if value != NO_VALUE}


def _parse_request(tokens: list[str], _context: ParsingContext) -> Request:
    """Read `arrival ID KEY VOLUME DEADLINE_US SHARD UNITS FLAGS CLASS PLAN FRONT_COUNT`."""
    flags = parse_optional_int(tokens[7])
    return Request(
        request_id=tokens[1],
        key=None if tokens[2] == NO_VALUE else tokens[2],
        volume=tokens[3],
        deadline_us=int(tokens[4]),
        shard=-1 if tokens[5] == NO_VALUE else int(float(tokens[5])),
        units=1.0 if tokens[6] == NO_VALUE else float(tokens[6]),
        class_name=tokens[8],
        plan=tokens[9],
        volume_front_count=1 if tokens[10] == NO_VALUE else int(float(tokens[10])),
        is_client_retry=bool(flags & CLIENT_RETRY_BIT),
    )


def _parse_outcome(tokens: list[str], context: ParsingContext) -> Outcome:
    """Read `finished ID USED_RATE ELAPSED_US ATTEMPT RESULT FINAL UNITS_ELSEWHERE ENDPOINT LOAD_REPORT`."""
    return Outcome(
        request_id=tokens[1],
        used_rate_percent=parse_optional_int(tokens[2]),
        elapsed_us=parse_optional_int(tokens[3]),
        attempt=parse_optional_int(tokens[4]),
        result=ATTEMPT_RESULT_BY_TOKEN[tokens[5]],
        final=parse_bool(tokens[6]),
        units_elsewhere=parse_optional_int(tokens[7]),
        endpoint=tokens[8],
        load_report=parse_load_report(tokens[9], context.load_report_fields),
    )


def _parse_timer(tokens: list[str], _context: ParsingContext) -> TimerExpired:
    """Read `alarm LABEL`."""
    return TimerExpired(tokens[1])


def _parse_endpoint_list(tokens: list[str], context: ParsingContext) -> EndpointList | EndpointListFailed:
    """Read `discovery _ KIND LIST_NUMBER`; the list itself was sent earlier, by `manifest`."""
    if tokens[2] == LIST_FAILED_TOKEN:
        return EndpointListFailed()
    return EndpointList(tokens[2] != PARTIAL_LIST_TOKEN, context.endpoint_lists[int(tokens[3])])


def _parse_client_disconnected(tokens: list[str], _context: ParsingContext) -> ClientDisconnected:
    """Read `client_left ID`."""
    return ClientDisconnected(tokens[1])


def _parse_response_started(tokens: list[str], _context: ParsingContext) -> ResponseStarted:
    """Read `started ID _ _ ATTEMPT`."""
    return ResponseStarted(tokens[1], int(tokens[4]))


def _parse_health_check(tokens: list[str], context: ParsingContext) -> HealthCheckResult:
    """Read `checked ENDPOINT RESULT ELAPSED_US LOAD_REPORT`."""
    result = ATTEMPT_RESULT_BY_TOKEN[tokens[2]]
    elapsed_us = parse_optional_int(tokens[3])
    return HealthCheckResult(
        tokens[1], result, elapsed_us, parse_load_report(tokens[4], context.load_report_fields)
    )


def _ignore_line(_tokens: list[str], _context: ParsingContext) -> None:
    """Ignore a line that is not passed to a scheduler."""


EVENT_PARSERS: dict[str, Callable[[list[str], ParsingContext], Event | None]] = {
    "arrival": _parse_request,
    "finished": _parse_outcome,
    "alarm": _parse_timer,
    "discovery": _parse_endpoint_list,
    "client_left": _parse_client_disconnected,
    "started": _parse_response_started,
    "checked": _parse_health_check,
    "note_from": _ignore_line,
}


def parse_event(tokens: list[str], context: ParsingContext) -> Event | None:
    """Return the event of a line of a batch, or None for a line to be ignored.

    Raises:
        SimulatorProtocolError: the type of the line is unknown.
    """
    parser = EVENT_PARSERS.get(tokens[0])
    if parser is None:
        raise SimulatorProtocolError(f"unknown message {tokens[0]}")
    return parser(tokens, context)


def format_action(action: Action) -> str:
    """Return an action as a line of the protocol.

    Raises:
        TypeError: the protocol has no line for the action.
    """
    match action:
        case Send(request_id, endpoint):
            return f"place {request_id} {endpoint} 0"
        case Reject(request_id, retry_after_us):
            return f"bounce {request_id} {retry_after_us}"
        case Fail(request_id):
            return f"surrender {request_id}"
        case Cancel(request_id, attempt):
            return f"undo_send {request_id} {attempt}"
        case SetTimer(delay_us, label):
            return f"defer {delay_us} {label}"
        case HealthCheck(endpoint):
            return f"probe {endpoint}"
        case WatchEndpoints():
            return "track 1"
        case LogNote(text):
            return f"trace {text}"
    raise TypeError(f"the protocol has no line for action {action!r}")
