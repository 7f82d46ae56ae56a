"""The admin API: readiness, counters, the endpoint list in force, zone overrides and manual drains.

Its connections are limited separately from those of clients, so that clients can't lock an operator out. A
connection serves one call and is then closed.
"""

import json
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol
from urllib.parse import quote, unquote

from umberlead.frontends.health_check import always_ready
from umberlead.net.http_message import HttpRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import AnswerKind

COUNTER_NAMES_BY_KIND = (
    (AnswerKind.SERVED, "ok"),
    (AnswerKind.REJECTED, "shed"),
    (AnswerKind.FAILED, "errors"),
)
READY_PATH = "/control/ready"
COUNTERS_PATH = "/control/counters"
CHUNK_SERVERS_PATH = "/control/chunk-servers/"
ZONES_PATH = "/control/rooms"
LIST_PATH = "/control/list"
LISTED_SERVERS_PATH = "/control/list/servers"
CONFIRM_PATH = "/control/list/confirm/"
DRAINED_BY_ACTION = {"offline": True, "online": False}
OVERRIDE_BY_ACTION = {"evacuate": "evacuate", "forbid-spill": "forbid", "clear": ""}
READ_METHODS = (b"GET", b"HEAD")


class AdminResponse(NamedTuple):
    """The response to a call of the admin API.

    Attributes:
        status: the HTTP status.
        body: the body, plain text or JSON.
    """

    status: int
    body: bytes


class ZoneControl(Protocol):
    """The methods of the zone routing that the admin API calls."""

    def status(self) -> Any:
        """Return the state of all zones, for JSON."""

    def set_override(self, zone: str, override: str) -> bool:
        """Set a zone's override, or clear it if `override` is empty; return False for an unknown zone."""


class ListControl(Protocol):
    """The methods of the watched endpoint lists that the admin API calls."""

    def status(self) -> Any:
        """Return the state of the list, for JSON."""

    def endpoint_rows(self) -> Any:
        """Return the chunk servers of the list in force, for JSON."""

    def confirm(self, digest: str) -> int:
        """Put the list that is held for confirmation into force, and return its generation.

        Raises:
            ValueError: no list is held, or one with another digest.
        """


class TaskFailures(Protocol):
    """The methods of the supervisor that the admin API calls."""

    def failure_counts(self) -> dict[str, int]:
        """Return the number of failures of each task that has failed since the process's start."""

    def failing_names(self) -> list[str]:
        """Return the names of the tasks that are failing at present."""


def format_counters(lifecycle: RequestLifecycle) -> bytes:
    """Return the counters since the process's start and the current gauges, as lines in statsd's format."""
    lines = [
        f"svc.{counter_name}.{quote(name, safe='')}:{lifecycle.answer_counts.by_kind_and_class[kind, name]}|c"
        for name in lifecycle.classes
        for kind, counter_name in COUNTER_NAMES_BY_KIND
    ]
    endpoint_count, unavailable_count = lifecycle.endpoint_counts()
    lines += [
        f"svc.tries:{lifecycle.counters['attempts_written']}|c",
        f"svc.active:{lifecycle.answer_counts.unanswered_count}|g",
        f"svc.pool_size:{endpoint_count}|g",
        f"svc.pool_ejected:{unavailable_count}|g",
    ]
    return "\n".join([*lines, ""]).encode()


def format_task_failures(failures: TaskFailures) -> bytes:
    """Return a line for each task that has failed since the process's start, and how many are failing now."""
    counts = failures.failure_counts()
    if not counts:
        return b""
    lines = [f"svc.task_failures.{name}:{count}|c" for name, count in counts.items()]
    return "\n".join([*lines, f"svc.tasks_failing:{len(failures.failing_names())}|g", ""]).encode()


def _json_response(value: Any) -> AdminResponse:
    return AdminResponse(200, json.dumps(value, indent=1).encode() + b"\n")


def _method_not_allowed(method: bytes, is_change: bool) -> AdminResponse | None:
    """Return a 405 response if the call does not support the method, else None."""
    if is_change:
        return None if method == b"PUT" else AdminResponse(405, b"this call is a PUT\n")
    return None if method in READ_METHODS else AdminResponse(405, b"this call is a GET\n")


class AdminApi:
    """Serves the admin listener; see `umberlead.net.server_connection.RequestHandler`.

    Attributes:
        watched_lists: the watched endpoint lists; None if the configuration has none.
        zones: the zone routing; None if the configuration has none.
        failures: the failures of the process's tasks; None if they are not supervised.
    """

    max_body_bytes = 1024
    sends_date = False
    singleton_headers = frozenset[bytes]()
    kept_headers = frozenset[bytes]()
    kept_header_prefixes: tuple[bytes, ...] = ()
    allows_slow_bodies = False
    retry_after_us = 0

    def __init__(
        self,
        lifecycle: RequestLifecycle,
        is_ready: Callable[[], bool],
        set_manual_drain: Callable[[str, bool], None],
        knows_endpoint: Callable[[str], bool] | None = None,
        unready_reason: Callable[[], str] = always_ready,
    ) -> None:
        """Create the handler.

        Args:
            lifecycle: provides the counters.
            is_ready: returns whether this process serves clients.
            set_manual_drain: starts or ends the manual drain of an endpoint; may raise OSError.
            knows_endpoint: returns whether an endpoint has this name; by default the lifecycle's method.
            unready_reason: returns why a process that serves clients is not ready; "" if it is.
        """
        self.lifecycle = lifecycle
        self.is_ready = is_ready
        self.set_manual_drain = set_manual_drain
        self.unready_reason = unready_reason
        self.failures: TaskFailures | None = None
        self.knows_endpoint = knows_endpoint or lifecycle.knows_endpoint
        self.watched_lists: ListControl | None = None
        self.zones: ZoneControl | None = None

    def handle_request(self, conn: ServerConnection, request: HttpRequest) -> None:
        """Answer a call and close the connection after the response."""
        conn.close_after_response = True
        response = self._dispatch(request.method, request.split_target()[0].decode("latin-1"))
        conn.send_response(response.status, (b"Content-Type: text/plain; charset=utf-8",), response.body)

    def client_disconnected(self, conn: ServerConnection) -> None:
        """Do nothing: a call is answered as soon as it is read, so that none is in progress here."""

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        """Answer a call that is malformed, or that the connection rejects for another reason."""
        conn.send_response(status, (), f"{reason}\n".encode())

    def _dispatch(self, method: bytes, path: str) -> AdminResponse:
        if self.zones is not None and path.startswith(ZONES_PATH):
            return self._zones_call(self.zones, method, path)
        is_list_call = path in (LIST_PATH, LISTED_SERVERS_PATH) or path.startswith(CONFIRM_PATH)
        if self.watched_lists is not None and is_list_call:
            return self._list_call(self.watched_lists, method, path)
        endpoint, _, action = path.removeprefix(CHUNK_SERVERS_PATH).partition("/")
        is_drain_call = path.startswith(CHUNK_SERVERS_PATH) and action in DRAINED_BY_ACTION
        if not is_drain_call and path not in (READY_PATH, COUNTERS_PATH):
            return AdminResponse(404, b"no such call\n")
        method_error = _method_not_allowed(method, is_drain_call)
        if method_error is not None:
            return method_error
        if is_drain_call:
            return self._set_drained(unquote(endpoint), DRAINED_BY_ACTION[action])
        if path == COUNTERS_PATH:
            failure_lines = format_task_failures(self.failures) if self.failures is not None else b""
            return AdminResponse(200, format_counters(self.lifecycle) + failure_lines)
        return self._readiness()

    def _readiness(self) -> AdminResponse:
        if not self.is_ready():
            return AdminResponse(503, b"not ready\n")
        if reason := self.unready_reason():
            return AdminResponse(503, f"not ready: {reason}\n".encode())
        return AdminResponse(200, b"ready\n")

    def _zones_call(self, zones: ZoneControl, method: bytes, path: str) -> AdminResponse:
        if path == ZONES_PATH and method == b"GET":
            return _json_response(zones.status())
        quoted_zone, _, action = path.removeprefix(f"{ZONES_PATH}/").rpartition("/")
        if method != b"PUT" or action not in OVERRIDE_BY_ACTION:
            usage = f"GET {ZONES_PATH}, or PUT {ZONES_PATH}/NAME/WORD with {', '.join(OVERRIDE_BY_ACTION)}\n"
            return AdminResponse(404, usage.encode())
        zone = unquote(quoted_zone)
        if not zones.set_override(zone, OVERRIDE_BY_ACTION[action]):
            return AdminResponse(404, f"no such room: {zone}\n".encode())
        return AdminResponse(200, b"done\n")

    def _list_call(self, lists: ListControl, method: bytes, path: str) -> AdminResponse:
        is_confirmation = path.startswith(CONFIRM_PATH)
        method_error = _method_not_allowed(method, is_confirmation)
        if method_error is not None:
            return method_error
        if not is_confirmation:
            return _json_response(lists.status() if path == LIST_PATH else lists.endpoint_rows())
        try:
            generation = lists.confirm(path.removeprefix(CONFIRM_PATH))
        except ValueError as error:
            return AdminResponse(409, f"{error}\n".encode())
        return AdminResponse(200, f"generation {generation}\n".encode())

    def _set_drained(self, endpoint: str, drained: bool) -> AdminResponse:
        if not self.knows_endpoint(endpoint):
            return AdminResponse(404, b"no such chunk server\n")
        try:
            self.set_manual_drain(endpoint, drained)
        except OSError as error:
            return AdminResponse(500, f"{error}\n".encode())
        return AdminResponse(200, b"offline\n" if drained else b"online\n")
