"""The platform's protocol: a client's HTTP request to an `IncomingRequest`, an `Answer` to HTTP."""

import math
import re
from collections.abc import Container
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from umberlead.net.http_message import Message
from umberlead.net.node_protocol import OutgoingRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.net.streaming import MAX_STREAM_BYTES
from umberlead.requests.lifecycle import Engine
from umberlead.requests.types import Answer, DuplicateRequestError, IncomingRequest, InFlightRequest, Kind

PASSED_ON = ((b"x-call-id", b"X-Call-Id: "), (b"x-plan", b"X-Plan: "), (b"x-io", b"X-IO: "))
LONGER = 1.25  # most that a budget may be of its class's deadline, the longest that its clients wait
TOKEN = re.compile(rb"[!-~]{1,128}")
BLOCK = re.compile(rb"(?:^|&)block=([0-9a-fA-F]{16})(?:&|$)")
SECONDS = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")  # float() alone takes nan, 1e9, 1_0 and signs
IO = {
    "units": re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?"),
    "shard": re.compile(r"-1|[0-9]{1,6}"),
    "hosts": re.compile(r"[0-9]{1,6}"),
    "volume": re.compile(r"[0-9a-fA-F]{1,32}"),
}


class BadRequest(ValueError):
    """The client's mistake; the text tells it."""


def class_of(target: bytes, known: Container[str]) -> str:
    """The first part of the path, as it stands or, where that names no class, with its escapes undone."""
    part = target.partition(b"?")[0].lstrip(b"/").split(b"/", 1)[0]
    plain = part.decode("latin-1")
    return plain if plain in known else unquote_to_bytes(part).decode("utf-8", "replace")


def ask_of(message: Message, engine: Engine, margin: int) -> IncomingRequest:
    """What the client wants, or `BadRequest`."""
    _, query = message.split()
    class_name = class_of(message.target, engine.classes)
    cls = engine.classes.get(class_name)
    if cls is None:
        raise BadRequest(f"no such class: {class_name}")
    got = message.headers
    plan = got.get(b"x-plan", b"").decode("latin-1")
    if plan not in engine.plans:
        plan = got.get(b"x-plan", b"").decode("utf-8", "replace")
    if plan not in engine.plans:
        raise BadRequest(f"X-Plan: no such plan: {plan}")
    if TOKEN.fullmatch(got.get(b"x-call-id", b"")) is None:
        raise BadRequest("X-Call-Id is missing or malformed")
    if message.method not in (b"GET", b"PUT"):
        raise BadRequest("a read is a GET, a write is a PUT")
    found = BLOCK.search(query)
    if found is None:
        raise BadRequest("block must be 16 hex digits")
    told, of = got.get(b"x-budget"), engine.settings
    if told is not None and SECONDS.fullmatch(told) is None:
        raise BadRequest("X-Budget must be seconds")
    budget = cls.deadline / 1e6 if told is None else float(told)
    if not 0 < budget <= cls.deadline / 1e6 * LONGER:
        raise BadRequest("X-Budget is out of range")
    listed = got.get(b"x-io", b"").decode("latin-1").split(",")
    io = {"hosts": "1"} | dict(pair.strip().partition("=")[::2] for pair in listed)
    if any(word.fullmatch(io.get(name, "")) is None for name, word in IO.items()):
        raise BadRequest("X-IO is missing or malformed")
    units, shard, hosts = float(io["units"]), int(io["shard"]), int(io["hosts"])
    if not (0 < units <= max(of.max_units, 1) and shard < (of.shards or 1 << 20) and hosts):
        raise BadRequest("X-IO is out of range")
    if message.body and message.method == b"GET":
        raise BadRequest("a read has no body")
    passed = [name + got[key] for key, name in PASSED_ON if key in got]
    out = OutgoingRequest(message.method, message.target, passed, message.body)
    # The budget counts from the client's sending: the margin is for the way here and back.
    give_up = message.received + max(int(budget * 1e6) - margin, 0)
    return IncomingRequest(
        class_name, plan, io["volume"], found[1].decode(), shard, units, give_up, out, hosts,
        got.get(b"x-again") == b"1", got[b"x-call-id"], True,
    )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Relayed:
    """Whose long answer is on its way."""

    class_name: str


class PlatformFront:
    """Translates, and decides nothing."""

    max_body_bytes = MAX_STREAM_BYTES
    sends_date = False  # the platform asks for no header
    singleton_headers = frozenset((b"x-call-id", b"x-plan", b"x-io", b"x-budget", b"x-again"))
    allows_slow_bodies = False

    def __init__(self, engine: Engine, retry_after: int, margin: int) -> None:
        self.engine, self.margin = engine, margin
        self.retry_after = retry_after
        self.ready = True

    def request(self, conn: ServerConnection, message: Message) -> None:
        if message.target == b"/healthz" and message.method in (b"GET", b"HEAD"):
            conn.reply(200 if self.ready else 503, (), b"ok\n" if self.ready else b"not ready\n")
            return
        try:
            ask = ask_of(message, self.engine, self.margin)
        except BadRequest as fault:
            self.engine.counters.add("bad_requests_400")
            conn.reply(400, (), f"{fault}\n".encode())
            return
        conn.context, ask.left = None, conn.check_disconnected
        try:
            ticket = self.engine.take(ask, lambda answer: self._answer(conn, message, answer))
        except DuplicateRequestError as fault:
            conn.reply(409, (), f"{fault}\n".encode())
            return
        if not ticket.answered:
            conn.context = ticket

    def _answer(self, conn: ServerConnection, message: Message, answer: Answer) -> None:
        if conn.current is not message:
            return
        conn.context = None
        if answer.kind is Kind.SERVED and answer.reply is not None:
            if answer.reply.rest is not None:
                conn.context = relayed = Relayed(class_of(message.target, self.engine.classes))
                return conn.relay(
                    200, answer.reply.length, answer.reply.body, answer.reply.rest,
                    lambda whole: self._relayed(conn, relayed, whole),
                )  # fmt: skip
            if conn.clients.has_memory_for(len(answer.reply.body)):
                return conn.reply(200, (), answer.reply.body)
            self.engine.counters.add("answers_over_memory")
            conn.reply(502, (), b"failed; it may have taken effect\n")
        elif answer.kind is Kind.REFUSED:
            self.refuse(conn, answer.retry_after, answer.reason)
        else:
            conn.reply(502, (), b"failed; it may have taken effect\n" if answer.may_have_run else b"failed\n")

    def _relayed(self, conn: ServerConnection, relayed: Relayed, whole: bool) -> None:
        conn.context = None
        self.engine.relayed(relayed.class_name, whole)

    def refuse(self, conn: ServerConnection, retry_after: int, reason: str) -> None:
        """At once, and telling when to come back."""
        wait = math.ceil((retry_after or self.retry_after) / 1000) / 1000
        conn.reply(503, (b"Retry-After: %g" % wait,), f"refused: {reason or 'try later'}\n".encode())

    def client_disconnected(self, conn: ServerConnection) -> None:
        ticket, conn.context = conn.context, None
        if isinstance(ticket, InFlightRequest):
            self.engine.gone(ticket)
        elif isinstance(ticket, Relayed):
            self.engine.relayed(ticket.class_name, None)

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        if status == 503:
            self.engine.refused_unread(class_of(conn.rejected_target, self.engine.classes))
            self.refuse(conn, 0, reason)
        else:
            conn.reply(status, (), f"{reason}\n".encode())
