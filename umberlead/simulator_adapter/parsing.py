"""Lines of the simulator's protocol to events, and actions to lines.

Lines are split at single spaces; the word `-` stands for no value. Malformed lines raise IndexError,
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
    ATTEMPT_RESULT_BY_WORD,
    CLIENT_RETRY_BIT,
    ENDPOINT_STATUS_BY_WORD,
    LIST_FAILED_WORD,
    NO_VALUE,
    PARTIAL_LIST_WORD,
    TRUE_WORDS,
)


@dataclass(slots=True)
class ParsingContext:
    """What the lines for an instance refer to.

    Attributes:
        load_report_fields: names of the values of its load reports.
        endpoint_lists: the lists that were sent, by number; all instances share them.
    """

    load_report_fields: list[str]
    endpoint_lists: dict[int, tuple[Endpoint, ...]] = field(default_factory=dict)


def parse_setting_pairs(words: list[str]) -> dict[str, str]:
    """Return settings by path, from words of the form PATH=VALUE.

    Raises:
        SimulatorProtocolError: a word has no value.
    """
    pairs = {}
    for word in words:
        path, equals, value = word.partition("=")
        if not equals:
            raise SimulatorProtocolError(f"setting without a value: {word}")
        pairs[path] = value
    return pairs


def parse_bool(text: str) -> bool:
    """Return whether a word stands for true."""
    return text in TRUE_WORDS


def parse_optional_int(text: str) -> int:
    """Return an integer, 0 for no value."""
    return 0 if text == NO_VALUE else int(text)


def parse_listed_endpoint(words: list[str]) -> Endpoint:
    """Read `item NAME STATUS _ SHARD _ [STARTED_US]`, a line of an endpoint list."""
    return Endpoint(
        name=words[1],
        status=ENDPOINT_STATUS_BY_WORD[words[2]],
        shard=-1 if words[4] == NO_VALUE else int(words[4]),
        started_us=parse_optional_int(words[6]) if len(words) > 6 else 0,
    )


def parse_load_report(text: str, field_names: list[str]) -> dict[str, float]:
    """Return a load report's values by name, from values with commas between them."""
    if text == NO_VALUE:
        return {}
    named_values = zip(field_names, text.split(","), strict=False)
    return {name: float(value) for name, value in named_values if value != NO_VALUE}


def _parse_request(words: list[str], _context: ParsingContext) -> Request:
    """Read `arrival ID KEY VOLUME DEADLINE_US SHARD UNITS FLAGS CLASS PLAN FRONT_COUNT`."""
    flags = parse_optional_int(words[7])
    return Request(
        request_id=words[1],
        key=None if words[2] == NO_VALUE else words[2],
        volume=words[3],
        deadline_us=int(words[4]),
        shard=-1 if words[5] == NO_VALUE else int(float(words[5])),
        units=1.0 if words[6] == NO_VALUE else float(words[6]),
        class_name=words[8],
        plan=words[9],
        volume_front_count=1 if words[10] == NO_VALUE else int(float(words[10])),
        is_client_retry=bool(flags & CLIENT_RETRY_BIT),
    )


def _parse_outcome(words: list[str], context: ParsingContext) -> Outcome:
    """Read `finished ID USED_RATE ELAPSED_US ATTEMPT RESULT FINAL UNITS_ELSEWHERE ENDPOINT LOAD_REPORT`."""
    return Outcome(
        request_id=words[1],
        used_rate_percent=parse_optional_int(words[2]),
        elapsed_us=parse_optional_int(words[3]),
        attempt=parse_optional_int(words[4]),
        result=ATTEMPT_RESULT_BY_WORD[words[5]],
        final=parse_bool(words[6]),
        units_elsewhere=parse_optional_int(words[7]),
        endpoint=words[8],
        load_report=parse_load_report(words[9], context.load_report_fields),
    )


def _parse_timer(words: list[str], _context: ParsingContext) -> TimerExpired:
    """Read `alarm LABEL`."""
    return TimerExpired(words[1])


def _parse_endpoint_list(words: list[str], context: ParsingContext) -> EndpointList | EndpointListFailed:
    """Read `discovery _ KIND LIST_NUMBER`; the list itself came before in lines of its own."""
    if words[2] == LIST_FAILED_WORD:
        return EndpointListFailed()
    return EndpointList(words[2] != PARTIAL_LIST_WORD, context.endpoint_lists[int(words[3])])


def _parse_client_disconnected(words: list[str], _context: ParsingContext) -> ClientDisconnected:
    """Read `client_left ID`."""
    return ClientDisconnected(words[1])


def _parse_response_started(words: list[str], _context: ParsingContext) -> ResponseStarted:
    """Read `started ID _ _ ATTEMPT`."""
    return ResponseStarted(words[1], int(words[4]))


def _parse_health_check(words: list[str], context: ParsingContext) -> HealthCheckResult:
    """Read `checked ENDPOINT RESULT ELAPSED_US LOAD_REPORT`."""
    result = ATTEMPT_RESULT_BY_WORD[words[2]]
    elapsed_us = parse_optional_int(words[3])
    return HealthCheckResult(
        words[1], result, elapsed_us, parse_load_report(words[4], context.load_report_fields)
    )


def _ignore_line(_words: list[str], _context: ParsingContext) -> None:
    """Ignore a line that no scheduler is notified of."""


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


def parse_event(words: list[str], context: ParsingContext) -> Event | None:
    """Return the event of a line of a batch, None for a line to be ignored.

    Raises:
        SimulatorProtocolError: there is no such line.
    """
    parser = EVENT_PARSERS.get(words[0])
    if parser is None:
        raise SimulatorProtocolError(f"unknown message {words[0]}")
    return parser(words, context)


def format_action(action: Action) -> str:
    """Return an action as a line of the protocol.

    Raises:
        TypeError: it is no action that the simulator has a line for.
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
    raise TypeError(f"no such action: {action!r}")
