"""The operators' door: whether this process is ready, its figures, the list in force, and chunk servers taken
out by hand.

It has places of its own, so that no crowd of clients keeps an operator out. A connection is one call."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, unquote

from umberlead.net.http_message import HttpRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import AnswerKind

COUNTER_NAMES_BY_KIND = (
    (AnswerKind.SERVED, "ok"),
    (AnswerKind.REJECTED, "shed"),
    (AnswerKind.FAILED, "errors"),
)
CHUNK_SERVERS_PATH = "/control/chunk-servers/"
DRAINED_BY_WORD = {"offline": True, "online": False}
ZONES_PATH, OVERRIDE_BY_WORD = (
    "/control/rooms",
    {"evacuate": "evacuate", "forbid-spill": "forbid", "clear": ""},
)
LIST_PATH, LISTED_SERVERS_PATH, CONFIRM_PATH = (
    "/control/list",
    "/control/list/servers",
    "/control/list/confirm/",
)


def format_counters(lifecycle: RequestLifecycle) -> bytes:
    """Counts since the start, and what is so now."""
    lines = [
        f"svc.{word}.{quote(name, safe='')}:{lifecycle.answer_counts[kind, name]}|c"
        for name in lifecycle.classes
        for kind, word in COUNTER_NAMES_BY_KIND
    ]
    size, avoided = lifecycle.endpoint_summary()
    lines += [
        f"svc.tries:{lifecycle.counters['attempts_written']}|c",
        f"svc.active:{lifecycle.unanswered_count}|g",
        f"svc.pool_size:{size}|g",
        f"svc.pool_ejected:{avoided}|g",
    ]
    return "\n".join([*lines, ""]).encode()


class AdminApi:
    max_body_bytes = 1024
    sends_date = False
    singleton_headers = frozenset[bytes]()
    allows_slow_bodies = False
    retry_after_us = 0

    def __init__(
        self,
        lifecycle: RequestLifecycle,
        is_ready: Callable[[], bool],
        set_manual_drain: Callable[[str, bool], None],
        knows_endpoint: Callable[[str], bool] | None = None,
    ) -> None:
        self.lifecycle, self.is_ready, self.set_manual_drain, self.knows_endpoint = (
            lifecycle,
            is_ready,
            set_manual_drain,
            knows_endpoint or lifecycle.knows_endpoint,
        )
        self.watched_lists: Any = None  # where lists are watched
        self.zones: Any = None  # where rooms are decided by

    def handle_request(self, conn: ServerConnection, message: HttpRequest) -> None:
        conn.close_after_reply = True
        status, body = self._dispatch(message.method, message.split_target()[0].decode("latin-1"))
        conn.send_response(status, (b"Content-Type: text/plain; charset=utf-8",), body)

    def _zones_call(self, method: bytes, path: str) -> tuple[int, bytes]:
        if path == ZONES_PATH and method == b"GET":
            return 200, json.dumps(self.zones.status(), indent=1).encode() + b"\n"
        room, _, word = path.removeprefix(f"{ZONES_PATH}/").rpartition("/")
        if method != b"PUT" or word not in OVERRIDE_BY_WORD:
            return (
                404,
                f"GET {ZONES_PATH}, or PUT {ZONES_PATH}/NAME/WORD with {', '.join(OVERRIDE_BY_WORD)}\n".encode(),
            )
        if not self.zones.set_override(unquote(room), OVERRIDE_BY_WORD[word]):
            return 404, f"no such room: {unquote(room)}\n".encode()
        return 200, b"done\n"

    def _dispatch(self, method: bytes, path: str) -> tuple[int, bytes]:
        if self.zones is not None and path.startswith(ZONES_PATH):
            return self._zones_call(method, path)
        if self.watched_lists is not None and (
            path in (LIST_PATH, LISTED_SERVERS_PATH) or path.startswith(CONFIRM_PATH)
        ):
            return self._list_call(method, path)
        node, _, word = path.removeprefix(CHUNK_SERVERS_PATH).partition("/")
        put = path.startswith(CHUNK_SERVERS_PATH) and word in DRAINED_BY_WORD
        if not put and path not in ("/control/ready", "/control/counters"):
            return 404, b"no such call\n"
        if method not in ((b"PUT",) if put else (b"GET", b"HEAD")):
            return 405, b"this call is a PUT\n" if put else b"this call is a GET\n"
        if put:
            return self._set_drained(unquote(node), DRAINED_BY_WORD[word])
        if path == "/control/counters":
            return 200, format_counters(self.lifecycle)
        return (200, b"ready\n") if self.is_ready() else (503, b"not ready\n")

    def _list_call(self, method: bytes, path: str) -> tuple[int, bytes]:
        confirm = path.startswith(CONFIRM_PATH)
        if method not in ((b"PUT",) if confirm else (b"GET", b"HEAD")):
            return 405, b"this call is a PUT\n" if confirm else b"this call is a GET\n"
        if not confirm:
            told = self.watched_lists.status() if path == LIST_PATH else self.watched_lists.endpoint_rows()
            return 200, json.dumps(told, indent=1).encode() + b"\n"
        try:
            return 200, f"generation {self.watched_lists.confirm(path.removeprefix(CONFIRM_PATH))}\n".encode()
        except ValueError as fault:
            return 409, f"{fault}\n".encode()

    def _set_drained(self, endpoint: str, drained: bool) -> tuple[int, bytes]:
        if not self.knows_endpoint(endpoint):
            return 404, b"no such chunk server\n"
        try:
            self.set_manual_drain(endpoint, drained)
        except OSError as fault:
            return 500, f"{fault}\n".encode()
        return 200, b"offline\n" if drained else b"online\n"

    def client_disconnected(self, conn: ServerConnection) -> None:
        """Every call is answered as it comes."""

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        conn.send_response(status, (), f"{reason}\n".encode())
