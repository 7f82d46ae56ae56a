"""The protocol of endpoints on top of HTTP: headers of requests, meaning of responses."""

import re
from dataclasses import dataclass, field

from umberlead.requests.types import Reply
from umberlead.scheduling.events import AttemptResult

NUMBER_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
LOAD_REPORT_FIELDS_LIMIT = 16  # further fields of a load report are ignored
BODYLESS_METHOD = b"GET"
# Header fields of responses that are used; others are dropped.
PROTOCOL_HEADERS = frozenset((b"x-load-report", b"x-volume-use", b"x-served-elsewhere", b"x-rejected"))


@dataclass(slots=True)
class OutgoingRequest:
    """A request to an endpoint, as a front end builds it.

    Attributes:
        method: the HTTP method.
        target: the request target.
        headers: complete header lines, without line ends.
        body: the body.
        served_statuses: statuses of responses that serve the request.
    """

    method: bytes
    target: bytes
    headers: list[bytes]
    body: bytes | bytearray = b""
    served_statuses: frozenset[int] = field(default=frozenset((200,)))


def encode_request(request: OutgoingRequest, host_line: bytes, budget_us: int) -> list[bytes]:
    """Return the pieces of a request; `budget_us` is its remaining time in microseconds."""
    pieces = [request.method, b" ", request.target, b" HTTP/1.1\r\n", host_line]
    for line in request.headers:
        pieces += (line, b"\r\n")
    pieces.append(b"X-Budget: %.3f\r\n" % (max(budget_us, 0) / 1e6))
    if request.body or request.method != BODYLESS_METHOD:
        pieces.append(b"Content-Length: %d\r\n" % len(request.body))
    pieces += (b"\r\n", request.body)
    return pieces


def decode_response(status: int, headers: dict[bytes, bytes], body: bytes) -> Reply:
    """Decode a response, with the protocol's own headers; malformed numbers are ignored."""
    return Reply(
        status,
        body,
        _parse_load_report(headers.get(b"x-load-report", b"")),
        # The header holds a percentage. The field adds 1, as the simulator's does, and 0 means unknown.
        _parse_number(headers.get(b"x-volume-use"), -1) + 1,
        _parse_number(headers.get(b"x-served-elsewhere"), 0),
    )


def result_of_response(request: OutgoingRequest, status: int, headers: dict[bytes, bytes]) -> AttemptResult:
    """Return the result of an attempt from its complete response.

    NOT_SENT means that the request was misdirected to this endpoint, which does not affect its health.
    """
    if status in request.served_statuses:
        return AttemptResult.OK
    rejected = headers.get(b"x-rejected") == b"1"
    if status == 504 and rejected:
        return AttemptResult.NOT_SENT
    return AttemptResult.REJECTED if status == 503 and rejected else AttemptResult.ERROR


def _parse_number(value: bytes | None, default: int) -> int:
    return int(float(value)) if value is not None and NUMBER_PATTERN.fullmatch(value) else default


def _parse_load_report(text: bytes) -> dict[str, float]:
    load_report = {}
    for pair in text.split(b",", LOAD_REPORT_FIELDS_LIMIT)[:LOAD_REPORT_FIELDS_LIMIT]:
        name, _, value = pair.partition(b"=")
        if NUMBER_PATTERN.fullmatch(value.strip()):
            load_report[name.strip().decode("latin-1")] = float(value)
    return load_report
