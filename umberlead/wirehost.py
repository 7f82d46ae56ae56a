"""The bench's wire on standard input and output: parses, hosts heads, prints. It decides nothing."""

import sys
import traceback
from typing import TextIO

from umberlead.config import settings_of
from umberlead.scheduling import interface as i
from umberlead.scheduling.scheduler import Head

_STATES = {"live": i.NodeState.UP, "quiescing": i.NodeState.DRAINING, "dead": i.NodeState.GONE}
_RESULTS = {
    "pass": i.Result.OK,
    "fault": i.Result.ERROR,
    "no_room": i.Result.FULL,
    "too_slow": i.Result.TIMEOUT,
    "no_route": i.Result.NO_LINK,
    "cut": i.Result.RESET,
    "undone": i.Result.CANCELLED,
    "stale_send": i.Result.MOOT,
}


class WireError(Exception):
    """The other side broke the wire's rules."""


class Broken(Exception):
    """The decision module raised; the text is the reply's lines."""


def _pairs(words: list[str]) -> dict[str, str]:
    pairs = {}
    for word in words:
        path, eq, value = word.partition("=")
        if not eq:
            raise WireError(f"setting without a value: {word}")
        pairs[path] = value
    return pairs


def _bool(text: str) -> bool:
    return text in ("true", "1")


def _maybe(text: str) -> int:
    return 0 if text == "-" else int(text)


class Link:
    """One adapter process: the heads it hosts and the node lists it was sent."""

    def __init__(self) -> None:
        self.heads: dict[str, Head] = {}
        self.fields: dict[str, list[str]] = {}
        self.sheets: dict[int, tuple[i.Node, ...]] = {}
        self.now = 0

    def _load(self, head: str, text: str) -> dict[str, float]:
        if text == "-":
            return {}
        return {
            name: float(v) for name, v in zip(self.fields[head], text.split(","), strict=False) if v != "-"
        }

    def _arrival(self, w: list[str]) -> i.Request:
        bits = _maybe(w[7])
        return i.Request(
            request=w[1],
            key=None if w[2] == "-" else w[2],
            volume=w[3],
            give_up=int(w[4]),
            shard=-1 if w[5] == "-" else int(float(w[5])),
            units=1.0 if w[6] == "-" else float(w[6]),
            class_name=w[8],
            plan=w[9],
            writers=1 if w[10] == "-" else int(float(w[10])),
            repeat=bool(bits & 2),
        )

    def event(self, head: str, w: list[str]) -> i.Event | None:
        """One line of a batch as an event for `head`."""
        kind = w[0]
        if kind == "arrival":
            return self._arrival(w)
        if kind == "finished":
            return i.Outcome(
                request=w[1],
                used=_maybe(w[2]),
                elapsed=_maybe(w[3]),
                attempt=_maybe(w[4]),
                result=_RESULTS[w[5]],
                final=_bool(w[6]),
                elsewhere=_maybe(w[7]),
                node=w[8],
                load=self._load(head, w[9]),
            )
        if kind == "alarm":
            return i.Wake(w[1])
        if kind == "discovery":
            if w[2] == "X":
                return i.ListFailed()
            return i.NodeList(w[2] != "D", self.sheets[int(w[3])])
        if kind == "client_left":
            return i.ClientGone(w[1])
        if kind == "started":
            return i.Streaming(w[1], int(w[4]))
        if kind == "checked":
            return i.Probed(w[1], _RESULTS[w[2]], _maybe(w[3]), self._load(head, w[4]))
        if kind == "note_from":
            return None
        raise WireError(f"unknown message {kind}")

    def start(self, head: str, w: list[str]) -> None:
        """An instance begins."""
        pairs = _pairs(w[2:])
        settings = settings_of(pairs)
        fields = pairs.get("loadReport.fields", "")
        self.fields[head] = [f for f in fields.split(",") if f and f != "-"]
        self.heads[head] = Head(settings, int(w[1]), self.now)


def action_line(action: i.Action) -> str:
    """An action as a line of the wire."""
    match action:
        case i.Send(request, node):
            return f"place {request} {node} 0"
        case i.Refuse(request, retry_after):
            return f"bounce {request} {retry_after}"
        case i.Fail(request):
            return f"surrender {request}"
        case i.Cancel(request, attempt):
            return f"undo_send {request} {attempt}"
        case i.SetTimer(delay, label):
            return f"defer {delay} {label}"
        case i.Probe(node):
            return f"probe {node}"
        case i.Follow():
            return "track 1"
        case i.Note(text):
            return f"trace {text}"
    raise TypeError(f"no such action: {action!r}")


class _Reader:
    """Lines of the input, numbered for plain messages."""

    def __init__(self, source: TextIO) -> None:
        self.source = source
        self.number = 0

    def next(self) -> list[str] | None:
        line = self.source.readline()
        if not line:
            return None
        self.number += 1
        return line.rstrip("\n").split(" ")


def _item(w: list[str]) -> i.Node:
    return i.Node(
        node=w[1],
        state=_STATES[w[2]],
        shard=-1 if w[4] == "-" else int(w[4]),
        started=_maybe(w[6]) if len(w) > 6 else 0,
    )


def _decide(head: Head, name: str, now: int, events: list[i.Event]) -> list[i.Action]:
    try:
        return head.handle(now, events)
    except Exception as fault:
        traceback.print_exc()
        text = f"{type(fault).__name__}: {fault}".replace("\n", " ")
        raise Broken(f"as {name}\nbroken {text}") from fault


def _batch(link: Link, reader: _Reader, out: list[str]) -> None:
    """Read up to the batch's end, hand each head its events, write the actions."""
    head = ""
    waiting: dict[str, list[i.Event]] = {}

    while True:
        w = reader.next()
        if w is None:
            raise WireError("input ended inside a batch")
        kind = w[0]
        if kind == "eof_batch":
            break
        if kind == "manifest":
            entries = []
            for _ in range(int(w[2])):
                line = reader.next()
                if line is None or line[0] != "item":
                    raise WireError("a list is shorter than it says")
                entries.append(_item(line))
            link.sheets[int(w[1])] = tuple(entries)
        elif kind == "about":
            head = w[1]
        elif kind == "enlist":
            if not head:
                raise WireError("enlist before any about")
            waiting.pop(head, None)
            try:
                link.start(head, w)
            except ValueError as fault:
                raise WireError(str(fault)) from None
            waiting[head] = []
        elif kind == "shutdown":
            if head not in link.heads:
                raise WireError(f"shutdown for unknown instance {head or '(none)'}")
            waiting.pop(head, None)
            del link.heads[head]
        else:
            if head not in link.heads:
                raise WireError(f"{kind} for an instance that was not enlisted: {head or '(none)'}")
            event = link.event(head, w)
            if event is not None:
                waiting.setdefault(head, []).append(event)
    for name, events in waiting.items():
        acts = _decide(link.heads[name], name, link.now, events)
        if acts:
            out.append(f"as {name}")
            out.extend(action_line(a) for a in acts)


def run(source: TextIO, sink: TextIO) -> int:
    """Serve the wire until the input ends."""
    link = Link()
    reader = _Reader(source)
    try:
        while (w := reader.next()) is not None:
            if w == [""]:
                continue
            if w[0] != "sync" or len(w) != 3:
                raise WireError(f"expected sync, found {w[0]}")
            link.now = int(w[1])
            out: list[str] = []
            try:
                _batch(link, reader, out)
            except Broken as fault:
                out.append(str(fault))
            out.append(f"ready {w[2]}")
            sink.write("\n".join(out) + "\n")
            sink.flush()
    except WireError as fault:
        print(f"line {reader.number}: {fault}", file=sys.stderr)
        return 2
    except (IndexError, ValueError, KeyError) as fault:
        print(f"line {reader.number}: malformed ({type(fault).__name__}: {fault})", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout))
