"""The platform's protocol: a client's HTTP request to an `IncomingRequest`, an `Answer` to HTTP."""

import math
import re
from collections.abc import Container
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.net.http_message import HttpRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.net.streaming import MAX_STREAM_BYTES
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import (
    Answer,
    AnswerKind,
    DuplicateRequestError,
    IncomingRequest,
    InFlightRequest,
)

FORWARDED_HEADERS = ((b"x-call-id", b"X-Call-Id: "), (b"x-plan", b"X-Plan: "), (b"x-io", b"X-IO: "))
MAX_BUDGET_RATIO = (
    1.25  # most that a budget may be of its class's deadline, the longest that its clients wait
)
CALL_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
BLOCK_PATTERN = re.compile(rb"(?:^|&)block=([0-9a-fA-F]{16})(?:&|$)")
SECONDS_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")  # float() alone takes nan, 1e9, 1_0 and signs
IO_FIELD_PATTERNS = {
    "units": re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?"),
    "shard": re.compile(r"-1|[0-9]{1,6}"),
    "hosts": re.compile(r"[0-9]{1,6}"),
    "volume": re.compile(r"[0-9a-fA-F]{1,32}"),
}


class BadRequestError(ValueError):
    """The client's mistake; the text tells it."""


def class_name_of(target: bytes, known: Container[str]) -> str:
    """The first part of the path, as it stands or, where that names no class, with its escapes undone."""
    part = target.partition(b"?")[0].lstrip(b"/").split(b"/", 1)[0]
    plain = part.decode("latin-1")
    return plain if plain in known else unquote_to_bytes(part).decode("utf-8", "replace")


def parse_request(
    message: HttpRequest, lifecycle: RequestLifecycle, answer_margin_us: int
) -> IncomingRequest:
    """What the client wants, or `BadRequest`."""
    _, query = message.split_target()
    class_name = class_name_of(message.target, lifecycle.classes)
    cls = lifecycle.classes.get(class_name)
    if cls is None:
        raise BadRequestError(f"no such class: {class_name}")
    got = message.headers
    plan = got.get(b"x-plan", b"").decode("latin-1")
    if plan not in lifecycle.plans:
        plan = got.get(b"x-plan", b"").decode("utf-8", "replace")
    if plan not in lifecycle.plans:
        raise BadRequestError(f"X-Plan: no such plan: {plan}")
    if CALL_ID_PATTERN.fullmatch(got.get(b"x-call-id", b"")) is None:
        raise BadRequestError("X-Call-Id is missing or malformed")
    if message.method not in (b"GET", b"PUT"):
        raise BadRequestError("a read is a GET, a write is a PUT")
    found = BLOCK_PATTERN.search(query)
    if found is None:
        raise BadRequestError("block must be 16 hex digits")
    told, of = got.get(b"x-budget"), lifecycle.settings
    if told is not None and SECONDS_PATTERN.fullmatch(told) is None:
        raise BadRequestError("X-Budget must be seconds")
    budget = cls.timeout_us / 1e6 if told is None else float(told)
    if not 0 < budget <= cls.timeout_us / 1e6 * MAX_BUDGET_RATIO:
        raise BadRequestError("X-Budget is out of range")
    listed = got.get(b"x-io", b"").decode("latin-1").split(",")
    io = {"hosts": "1"} | dict(pair.strip().partition("=")[::2] for pair in listed)
    if any(word.fullmatch(io.get(name, "")) is None for name, word in IO_FIELD_PATTERNS.items()):
        raise BadRequestError("X-IO is missing or malformed")
    units, shard, hosts = float(io["units"]), int(io["shard"]), int(io["hosts"])
    if not (0 < units <= max(of.max_request_units, 1) and shard < (of.shard_count or 1 << 20) and hosts):
        raise BadRequestError("X-IO is out of range")
    if message.body and message.method == b"GET":
        raise BadRequestError("a read has no body")
    passed = [name + got[key] for key, name in FORWARDED_HEADERS if key in got]
    out = OutgoingRequest(message.method, message.target, passed, message.body)
    # The budget counts from the client's sending: the margin is for the way here and back.
    give_up = message.received_us + max(int(budget * 1e6) - answer_margin_us, 0)
    return IncomingRequest(
        class_name,
        plan,
        io["volume"],
        found[1].decode(),
        shard,
        units,
        give_up,
        out,
        hosts,
        got.get(b"x-again") == b"1",
        got[b"x-call-id"],
        True,
    )


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """Whose long answer is on its way."""

    class_name: str


class PlatformFrontend:
    """Translates, and decides nothing."""

    max_body_bytes = MAX_STREAM_BYTES
    sends_date = False  # the platform asks for no header
    singleton_headers = frozenset((b"x-call-id", b"x-plan", b"x-io", b"x-budget", b"x-again"))
    allows_slow_bodies = False

    def __init__(self, lifecycle: RequestLifecycle, retry_after_us: int, answer_margin_us: int) -> None:
        self.lifecycle, self.answer_margin_us = lifecycle, answer_margin_us
        self.retry_after_us = retry_after_us
        self.ready = True

    def handle_request(self, conn: ServerConnection, message: HttpRequest) -> None:
        if message.target == b"/healthz" and message.method in (b"GET", b"HEAD"):
            conn.send_response(200 if self.ready else 503, (), b"ok\n" if self.ready else b"not ready\n")
            return
        try:
            ask = parse_request(message, self.lifecycle, self.answer_margin_us)
        except BadRequestError as fault:
            self.lifecycle.counters.add("bad_requests_400")
            conn.send_response(400, (), f"{fault}\n".encode())
            return
        conn.handler_context, ask.client_has_left = None, conn.check_disconnected
        try:
            ticket = self.lifecycle.accept(ask, lambda answer: self._answer(conn, message, answer))
        except DuplicateRequestError as fault:
            conn.send_response(409, (), f"{fault}\n".encode())
            return
        if not ticket.answered:
            conn.handler_context = ticket

    def _answer(self, conn: ServerConnection, message: HttpRequest, answer: Answer) -> None:
        if conn.active_request is not message:
            return
        conn.handler_context = None
        if answer.kind is AnswerKind.SERVED and answer.reply is not None:
            if answer.reply.stream is not None:
                conn.handler_context = relayed = StreamedAnswer(
                    class_name_of(message.target, self.lifecycle.classes)
                )
                return conn.stream_response(
                    200,
                    answer.reply.body_length,
                    answer.reply.body,
                    answer.reply.stream,
                    lambda whole: self._stream_ended(conn, relayed, whole),
                )
            if conn.clients.has_buffer_for(len(answer.reply.body)):
                return conn.send_response(200, (), answer.reply.body)
            self.lifecycle.counters.add("answers_over_memory")
            conn.send_response(502, (), b"failed; it may have taken effect\n")
        elif answer.kind is AnswerKind.REJECTED:
            self.reply_rejected(conn, answer.retry_after_us, answer.reason)
        else:
            conn.send_response(
                502, (), b"failed; it may have taken effect\n" if answer.may_have_run else b"failed\n"
            )

    def _stream_ended(self, conn: ServerConnection, relayed: StreamedAnswer, whole: bool) -> None:
        conn.handler_context = None
        self.lifecycle.stream_ended(relayed.class_name, whole)

    def reply_rejected(self, conn: ServerConnection, retry_after_us: int, reason: str) -> None:
        """At once, and telling when to come back."""
        wait = math.ceil((retry_after_us or self.retry_after_us) / 1000) / 1000
        conn.send_response(503, (b"Retry-After: %g" % wait,), f"refused: {reason or 'try later'}\n".encode())

    def client_disconnected(self, conn: ServerConnection) -> None:
        ticket, conn.handler_context = conn.handler_context, None
        if isinstance(ticket, InFlightRequest):
            self.lifecycle.client_left(ticket)
        elif isinstance(ticket, StreamedAnswer):
            self.lifecycle.stream_ended(ticket.class_name, None)

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        if status == 503:
            self.lifecycle.count_unread_rejection(class_name_of(conn.rejected_target, self.lifecycle.classes))
            self.reply_rejected(conn, 0, reason)
        else:
            conn.send_response(status, (), f"{reason}\n".encode())
