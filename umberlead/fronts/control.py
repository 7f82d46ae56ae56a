"""The operators' door: whether this process is ready, its figures, and chunk servers taken out by hand.

It has places of its own, so that no crowd of clients keeps an operator out. A connection is one call."""

from collections.abc import Callable
from urllib.parse import unquote

from umberlead.core.engine import Engine, Kind
from umberlead.net.http import Message, ServerConnection

COUNTED = ((Kind.SERVED, "ok"), (Kind.REFUSED, "shed"), (Kind.FAILED, "errors"))
CHUNK_SERVERS = "/control/chunk-servers/"
SWITCHES = {"offline": True, "online": False}


def figures(engine: Engine) -> bytes:
    """Counts since the start, and what is so now."""
    lines = [
        f"svc.{word}.{name}:{engine.figures[kind, name]}|c"
        for name in engine.classes
        for kind, word in COUNTED
    ]
    size, avoided = engine.head.pool()
    lines += [
        f"svc.tries:{engine.counters['attempts_written']}|c",
        f"svc.active:{engine.active}|g",
        f"svc.pool_size:{size}|g",
        f"svc.pool_ejected:{avoided}|g",
    ]
    return "\n".join([*lines, ""]).encode()


class ControlFront:
    body_most = 1024
    dated = False
    single = frozenset[bytes]()
    slow_bodies = False
    retry_after = 0

    def __init__(self, engine: Engine, ready: Callable[[], bool], mark: Callable[[str, bool], None]) -> None:
        self.engine, self.ready, self.mark = engine, ready, mark

    def request(self, conn: ServerConnection, message: Message) -> None:
        conn.closing = True
        status, body = self._call(message.method, message.split()[0].decode("latin-1"))
        conn.reply(status, (b"Content-Type: text/plain; charset=utf-8",), body)

    def _call(self, method: bytes, path: str) -> tuple[int, bytes]:
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

    def _switch(self, node: str, out: bool) -> tuple[int, bytes]:
        if not self.engine.knows(node):
            return 404, b"no such chunk server\n"
        try:
            self.mark(node, out)
        except OSError as fault:
            return 500, f"{fault}\n".encode()
        return 200, b"offline\n" if out else b"online\n"

    def gone(self, conn: ServerConnection) -> None:
        """Every call is answered as it comes."""

    def bad(self, conn: ServerConnection, status: int, why: str) -> None:
        conn.reply(status, (), f"{why}\n".encode())
