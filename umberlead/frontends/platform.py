"""The platform protocol, in which clients read and write single blocks over HTTP.

A read is `GET /CLASS?block=BLOCK`, a write is a PUT. The header fields X-Call-Id, X-Plan and X-IO are
required, X-Budget (the client's timeout in seconds) and X-Again (1 for a client retry) are optional. This
module parses an HTTP request into an `IncomingRequest`, and sends its `Answer` as an HTTP response.
"""

import math
import re
from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from umberlead.common.errors import UmberleadError
from umberlead.frontends.health_check import always_ready, answer_health_check
from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.net.http_message import HttpRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.net.streaming import MAX_STREAM_BYTES
from umberlead.requests.errors import CallIdUndecidedError, DuplicateRequestError
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import (
    Answer,
    AnswerKind,
    IncomingRequest,
    InFlightRequest,
)
from umberlead.scheduling.settings import Settings

FORWARDED_HEADERS = ((b"x-call-id", b"X-Call-Id: "), (b"x-plan", b"X-Plan: "), (b"x-io", b"X-IO: "))
MAX_BUDGET_RATIO = 1.25  # to the class's timeout, the longest that its clients wait
MAX_SHARD_COUNT = 1 << 20  # where the settings give no shard count
CALL_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
BLOCK_PATTERN = re.compile(rb"(?:^|&)block=([0-9a-fA-F]{16})(?:&|$)")
SECONDS_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")  # float() also accepts nan, 1e9, 1_0 and signs
IO_FIELD_PATTERNS = {
    "units": re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?"),
    "shard": re.compile(r"-1|[0-9]{1,6}"),
    "hosts": re.compile(r"[0-9]{1,6}"),
    "volume": re.compile(r"[0-9a-fA-F]{1,32}"),
}
FAILED_TEXT = b"failed\n"
MAY_HAVE_RUN_TEXT = b"failed; it may have taken effect\n"


class BadRequestError(UmberleadError, ValueError):
    """A request violates the protocol; the message is sent to the client."""


class IoFields(NamedTuple):
    """The values of the X-IO header field.

    Attributes:
        units: the size of the request, in units of work.
        shard: the shard that holds the data; -1 for a new object.
        front_count: how many fronts the clients of the volume use.
        volume: the volume's name, in hexadecimal digits.
    """

    units: float
    shard: int
    front_count: int
    volume: str


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """The `handler_context` of a connection while an answer is streamed on it.

    Attributes:
        class_name: the request's class.
    """

    class_name: str


def class_name_of(target: bytes, class_names: Container[str]) -> str:
    """Return the name of the request class, the first path segment of a request target.

    Args:
        target: the request target.
        class_names: the names of the configured classes. A segment that equals one of them is returned
            unchanged; any other is returned with its percent escapes decoded.
    """
    segment = target.partition(b"?")[0].lstrip(b"/").split(b"/", 1)[0]
    name = segment.decode("latin-1")
    return name if name in class_names else unquote_to_bytes(segment).decode("utf-8", "replace")


def _parse_plan(headers: dict[bytes, bytes], plan_names: Container[str]) -> str:
    raw_plan = headers.get(b"x-plan", b"")
    plan = raw_plan.decode("latin-1")
    if plan not in plan_names:
        plan = raw_plan.decode("utf-8", "replace")
    if plan not in plan_names:
        raise BadRequestError(f"X-Plan: no such plan: {plan}")
    return plan


def _parse_block(request: HttpRequest) -> str:
    """Check the call id and the method of a request, and return the name of its block."""
    if CALL_ID_PATTERN.fullmatch(request.headers.get(b"x-call-id", b"")) is None:
        raise BadRequestError("X-Call-Id is missing or malformed")
    if request.method not in (b"GET", b"PUT"):
        raise BadRequestError("a read is a GET, a write is a PUT")
    block = BLOCK_PATTERN.search(request.split_target()[1])
    if block is None:
        raise BadRequestError("block must be 16 hex digits")
    return block[1].decode()


def _parse_budget_seconds(headers: dict[bytes, bytes], timeout_us: int) -> float:
    """Return how long the client waits for the answer: its X-Budget, or else the class's timeout."""
    budget = headers.get(b"x-budget")
    timeout_seconds = timeout_us / 1e6
    if budget is None:
        seconds = timeout_seconds
    elif SECONDS_PATTERN.fullmatch(budget) is None:
        raise BadRequestError("X-Budget must be seconds")
    else:
        seconds = float(budget)
    if not 0 < seconds <= timeout_seconds * MAX_BUDGET_RATIO:
        raise BadRequestError("X-Budget is out of range")
    return seconds


def _parse_io(headers: dict[bytes, bytes], settings: Settings) -> IoFields:
    fields = {"hosts": "1"}
    for pair in headers.get(b"x-io", b"").decode("latin-1").split(","):
        name, _, value = pair.strip().partition("=")
        fields[name] = value
    for name, pattern in IO_FIELD_PATTERNS.items():
        if pattern.fullmatch(fields.get(name, "")) is None:
            raise BadRequestError("X-IO is missing or malformed")
    io = IoFields(float(fields["units"]), int(fields["shard"]), int(fields["hosts"]), fields["volume"])
    shard_count = settings.shard_count or MAX_SHARD_COUNT
    max_units = max(settings.max_request_units, 1)
    if not (0 < io.units <= max_units and io.shard < shard_count and io.front_count):
        raise BadRequestError("X-IO is out of range")
    return io


def parse_request(
    request: HttpRequest, lifecycle: RequestLifecycle, answer_margin_us: int
) -> IncomingRequest:
    """Parse a client's request.

    Args:
        request: the HTTP request.
        lifecycle: provides the classes, the plans and the settings.
        answer_margin_us: the part of the client's budget that is reserved for the network in both directions.

    Raises:
        BadRequestError: the request violates the protocol.
    """
    headers = request.headers
    class_name = class_name_of(request.target, lifecycle.classes)
    request_class = lifecycle.classes.get(class_name)
    if request_class is None:
        raise BadRequestError(f"no such class: {class_name}")
    plan = _parse_plan(headers, lifecycle.plans)
    block = _parse_block(request)
    budget_us = int(_parse_budget_seconds(headers, request_class.timeout_us) * 1e6)
    io = _parse_io(headers, lifecycle.settings)
    if request.body and request.method == b"GET":
        raise BadRequestError("a read has no body")
    return IncomingRequest(
        class_name=class_name,
        plan=plan,
        volume=io.volume,
        key=block,
        shard=io.shard,
        units=io.units,
        # The client's budget runs from when it sends the request; the margin covers the time in the network.
        deadline_us=request.received_us + max(budget_us - answer_margin_us, 0),
        payload=_outgoing_request(request),
        volume_front_count=io.front_count,
        is_client_retry=headers.get(b"x-again") == b"1",
        call_id=headers[b"x-call-id"],
        accepts_stream=True,
    )


def _outgoing_request(request: HttpRequest) -> OutgoingRequest:
    headers = request.headers
    forwarded = [line_start + headers[name] for name, line_start in FORWARDED_HEADERS if name in headers]
    return OutgoingRequest(request.method, request.target, forwarded, request.body)


def format_seconds(seconds: float) -> bytes:
    """Return seconds in decimal notation, rounded to milliseconds, without an exponent or trailing zeros."""
    return f"{seconds:.3f}".rstrip("0").rstrip(".").encode()


class PlatformFrontend:
    """Serves the platform's listener; see `umberlead.net.server_connection.RequestHandler`.

    It only translates between HTTP and the request lifecycle, which makes all decisions.

    Attributes:
        unready_reason: returns why this process is not ready, for health checks; "" if it is.
    """

    max_body_bytes = MAX_STREAM_BYTES
    sends_date = False  # clients of this protocol don't use Date
    singleton_headers = frozenset((b"x-call-id", b"x-plan", b"x-io", b"x-budget", b"x-again"))
    kept_headers = singleton_headers
    kept_header_prefixes: tuple[bytes, ...] = ()
    allows_slow_bodies = False

    def __init__(self, lifecycle: RequestLifecycle, retry_after_us: int, answer_margin_us: int) -> None:
        """Create the handler.

        Args:
            lifecycle: accepts the requests.
            retry_after_us: the Retry-After of rejections for which the lifecycle gives none.
            answer_margin_us: the part of a client's budget that is reserved for the network in both
                directions.
        """
        self.lifecycle = lifecycle
        self.answer_margin_us = answer_margin_us
        self.retry_after_us = retry_after_us
        self.unready_reason: Callable[[], str] = always_ready

    def handle_request(self, conn: ServerConnection, request: HttpRequest) -> None:
        """Pass a request to the lifecycle; answer health checks and invalid requests directly."""
        if request.target == b"/healthz" and request.method in (b"GET", b"HEAD"):
            answer_health_check(conn, self.unready_reason())
            return
        try:
            incoming = parse_request(request, self.lifecycle, self.answer_margin_us)
        except BadRequestError as error:
            self.lifecycle.counters.add("bad_requests_400")
            conn.send_response(400, (), f"{error}\n".encode())
            return
        conn.handler_context = None
        incoming.check_disconnect = conn.check_disconnected
        try:
            in_flight = self.lifecycle.accept(incoming, lambda answer: self._answer(conn, request, answer))
        except DuplicateRequestError as error:
            conn.send_response(409, (), f"{error}\n".encode())
            return
        except CallIdUndecidedError as error:
            self.lifecycle.answer_counts.record_early_rejection(incoming.class_name)
            self.reply_rejected(conn, 0, str(error))
            return
        if not in_flight.answered:
            conn.handler_context = in_flight

    def _answer(self, conn: ServerConnection, request: HttpRequest, answer: Answer) -> None:
        if conn.active_request is not request:
            return
        conn.handler_context = None
        reply = answer.reply
        if answer.kind is AnswerKind.REJECTED:
            self.reply_rejected(conn, answer.retry_after_us, answer.reason)
        elif answer.kind is not AnswerKind.SERVED or reply is None:
            conn.send_response(502, (), MAY_HAVE_RUN_TEXT if answer.may_have_run else FAILED_TEXT)
        elif reply.stream is not None:
            streamed = StreamedAnswer(class_name_of(request.target, self.lifecycle.classes))
            conn.handler_context = streamed
            conn.stream_response(
                200,
                reply.body_length,
                reply.body,
                reply.stream,
                lambda complete: self._stream_ended(conn, streamed, complete),
            )
        elif conn.clients.has_buffer_for(len(reply.body)):
            conn.send_response(200, (), reply.body)
        else:
            self.lifecycle.counters.add("answers_over_memory")
            conn.send_response(502, (), MAY_HAVE_RUN_TEXT)

    def _stream_ended(self, conn: ServerConnection, streamed: StreamedAnswer, complete: bool) -> None:
        conn.handler_context = None
        self.lifecycle.answer_counts.record_streamed_answer(streamed.class_name, complete)

    def reply_rejected(self, conn: ServerConnection, retry_after_us: int, reason: str) -> None:
        """Send a 503 response that says when the client may retry.

        Args:
            conn: the client's connection.
            retry_after_us: the time until the retry, in microseconds; 0 stands for the front's default.
            reason: the reason to give to the client.
        """
        seconds = math.ceil((retry_after_us or self.retry_after_us) / 1000) / 1000
        body = f"refused: {reason or 'try later'}\n".encode()
        conn.send_response(503, (b"Retry-After: " + format_seconds(seconds),), body)

    def client_disconnected(self, conn: ServerConnection) -> None:
        """Notify the lifecycle that a client disconnected before it received the complete answer."""
        context = conn.handler_context
        conn.handler_context = None
        if isinstance(context, InFlightRequest):
            self.lifecycle.on_client_disconnected(context)
        elif isinstance(context, StreamedAnswer):
            self.lifecycle.answer_counts.record_streamed_answer(context.class_name, None)

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        """Answer a request that is malformed, or that the connection rejects for another reason."""
        if status == 503:
            class_name = class_name_of(conn.rejected_target, self.lifecycle.classes)
            self.lifecycle.answer_counts.record_early_rejection(class_name)
            self.reply_rejected(conn, 0, reason)
        else:
            conn.send_response(status, (), f"{reason}\n".encode())
