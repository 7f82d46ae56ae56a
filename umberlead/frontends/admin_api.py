"""The operators' door: whether this process is ready, its figures, the list in force, and chunk servers taken
out by hand.

It has places of its own, so that no crowd of clients keeps an operator out. A connection is one call."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, unquote

from umberlead.net.http_message import Message
from umberlead.net.server_connection import ServerConnection
from umberlead.requests.lifecycle import Engine
from umberlead.requests.types import Kind

COUNTED = ((Kind.SERVED, "ok"), (Kind.REFUSED, "shed"), (Kind.FAILED, "errors"))
CHUNK_SERVERS = "/control/chunk-servers/"
SWITCHES = {"offline": True, "online": False}
ROOMS, BY_HAND = "/control/rooms", {"evacuate": "evacuate", "forbid-spill": "forbid", "clear": ""}
LIST, SERVERS, CONFIRM = "/control/list", "/control/list/servers", "/control/list/confirm/"


def figures(engine: Engine) -> bytes:
    """Counts since the start, and what is so now."""
    lines = [
        f"svc.{word}.{quote(name, safe='')}:{engine.figures[kind, name]}|c"
        for name in engine.classes
        for kind, word in COUNTED
    ]
    size, avoided = engine.pool()
    lines += [
        f"svc.tries:{engine.counters['attempts_written']}|c",
        f"svc.active:{engine.active}|g",
        f"svc.pool_size:{size}|g",
        f"svc.pool_ejected:{avoided}|g",
    ]
    return "\n".join([*lines, ""]).encode()


class ControlFront:
    max_body_bytes = 1024
    sends_date = False
    singleton_headers = frozenset[bytes]()
    allows_slow_bodies = False
    retry_after = 0

    def __init__(
        self,
        engine: Engine,
        ready: Callable[[], bool],
        mark: Callable[[str, bool], None],
        knows: Callable[[str], bool] | None = None,
    ) -> None:
        self.engine, self.ready, self.mark, self.knows = engine, ready, mark, knows or engine.knows
        self.lists: Any = None  # where lists are watched
        self.rooms: Any = None  # where rooms are decided by

    def request(self, conn: ServerConnection, message: Message) -> None:
        conn.close_after_reply = True
        status, body = self._call(message.method, message.split()[0].decode("latin-1"))
        conn.reply(status, (b"Content-Type: text/plain; charset=utf-8",), body)

    def _rooms(self, method: bytes, path: str) -> tuple[int, bytes]:
        if path == ROOMS and method == b"GET":
            return 200, json.dumps(self.rooms.shown(), indent=1).encode() + b"\n"
        room, _, word = path.removeprefix(f"{ROOMS}/").rpartition("/")
        if method != b"PUT" or word not in BY_HAND:
            return 404, f"GET {ROOMS}, or PUT {ROOMS}/NAME/WORD with {', '.join(BY_HAND)}\n".encode()
        if not self.rooms.by_hand(unquote(room), BY_HAND[word]):
            return 404, f"no such room: {unquote(room)}\n".encode()
        return 200, b"done\n"

    def _call(self, method: bytes, path: str) -> tuple[int, bytes]:
        if self.rooms is not None and path.startswith(ROOMS):
            return self._rooms(method, path)
        if self.lists is not None and (path in (LIST, SERVERS) or path.startswith(CONFIRM)):
            return self._list(method, path)
        node, _, word = path.removeprefix(CHUNK_SERVERS).partition("/")
        put = path.startswith(CHUNK_SERVERS) and word in SWITCHES
        if not put and path not in ("/control/ready", "/control/counters"):
            return 404, b"no such call\n"
        if method not in ((b"PUT",) if put else (b"GET", b"HEAD")):
            return 405, b"this call is a PUT\n" if put else b"this call is a GET\n"
        if put:
            return self._switch(unquote(node), SWITCHES[word])
        if path == "/control/counters":
            return 200, figures(self.engine)
        return (200, b"ready\n") if self.ready() else (503, b"not ready\n")

    def _list(self, method: bytes, path: str) -> tuple[int, bytes]:
        confirm = path.startswith(CONFIRM)
        if method not in ((b"PUT",) if confirm else (b"GET", b"HEAD")):
            return 405, b"this call is a PUT\n" if confirm else b"this call is a GET\n"
        if not confirm:
            told = self.lists.status() if path == LIST else self.lists.servers()
            return 200, json.dumps(told, indent=1).encode() + b"\n"
        try:
            return 200, f"generation {self.lists.confirm(path.removeprefix(CONFIRM))}\n".encode()
        except ValueError as fault:
            return 409, f"{fault}\n".encode()

    def _switch(self, node: str, out: bool) -> tuple[int, bytes]:
        if not self.knows(node):
            return 404, b"no such chunk server\n"
        try:
            self.mark(node, out)
        except OSError as fault:
            return 500, f"{fault}\n".encode()
        return 200, b"offline\n" if out else b"online\n"

    def client_disconnected(self, conn: ServerConnection) -> None:
        """Every call is answered as it comes."""

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        conn.reply(status, (), f"{reason}\n".encode())
