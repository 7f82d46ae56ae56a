"""The bench's wire on standard input and output: parses, hosts heads, prints. It decides nothing."""

import sys
import traceback
from typing import TextIO

from umberlead.config import parse_settings
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
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListFailed,
    EndpointStatus,
    Event,
    HealthCheckResult,
    Outcome,
    Request,
    ResponseStarted,
    TimerExpired,
)
from umberlead.scheduling.scheduler import Scheduler

ENDPOINT_STATUS_BY_WORD = {
    "live": EndpointStatus.UP,
    "quiescing": EndpointStatus.DRAINING,
    "dead": EndpointStatus.GONE,
}
ATTEMPT_RESULT_BY_WORD = {
    "pass": AttemptResult.OK,
    "fault": AttemptResult.ERROR,
    "no_room": AttemptResult.REJECTED,
    "too_slow": AttemptResult.TIMEOUT,
    "no_route": AttemptResult.CONNECT_FAILED,
    "cut": AttemptResult.RESET,
    "undone": AttemptResult.CANCELLED,
    "stale_send": AttemptResult.NOT_SENT,
}


class SimulatorProtocolError(Exception):
    """The other side broke the wire's rules."""


class SchedulerFailedError(Exception):
    """The decision module raised; the text is the reply's lines."""


def parse_setting_pairs(words: list[str]) -> dict[str, str]:
    pairs = {}
    for word in words:
        path, eq, value = word.partition("=")
        if not eq:
            raise SimulatorProtocolError(f"setting without a value: {word}")
        pairs[path] = value
    return pairs


def parse_bool(text: str) -> bool:
    return text in ("true", "1")


def parse_optional_int(text: str) -> int:
    return 0 if text == "-" else int(text)


class AdapterSession:
    """One adapter process: the heads it hosts and the node lists it was sent."""

    def __init__(self) -> None:
        self.schedulers: dict[str, Scheduler] = {}
        self.load_report_fields: dict[str, list[str]] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        self.now_us = 0

    def _parse_load_report(self, instance: str, text: str) -> dict[str, float]:
        if text == "-":
            return {}
        return {
            name: float(v)
            for name, v in zip(self.load_report_fields[instance], text.split(","), strict=False)
            if v != "-"
        }

    def _parse_request(self, words: list[str]) -> Request:
        bits = parse_optional_int(words[7])
        return Request(
            request_id=words[1],
            key=None if words[2] == "-" else words[2],
            volume=words[3],
            deadline_us=int(words[4]),
            shard=-1 if words[5] == "-" else int(float(words[5])),
            units=1.0 if words[6] == "-" else float(words[6]),
            class_name=words[8],
            plan=words[9],
            volume_front_count=1 if words[10] == "-" else int(float(words[10])),
            is_client_retry=bool(bits & 2),
        )

    def parse_event(self, instance: str, words: list[str]) -> Event | None:
        """One line of a batch as an event for `head`."""
        kind = words[0]
        if kind == "arrival":
            return self._parse_request(words)
        if kind == "finished":
            return Outcome(
                request_id=words[1],
                used_rate_percent=parse_optional_int(words[2]),
                elapsed_us=parse_optional_int(words[3]),
                attempt=parse_optional_int(words[4]),
                result=ATTEMPT_RESULT_BY_WORD[words[5]],
                final=parse_bool(words[6]),
                units_elsewhere=parse_optional_int(words[7]),
                endpoint=words[8],
                load_report=self._parse_load_report(instance, words[9]),
            )
        if kind == "alarm":
            return TimerExpired(words[1])
        if kind == "discovery":
            if words[2] == "X":
                return EndpointListFailed()
            return EndpointList(words[2] != "D", self.endpoint_lists[int(words[3])])
        if kind == "client_left":
            return ClientDisconnected(words[1])
        if kind == "started":
            return ResponseStarted(words[1], int(words[4]))
        if kind == "checked":
            return HealthCheckResult(
                words[1],
                ATTEMPT_RESULT_BY_WORD[words[2]],
                parse_optional_int(words[3]),
                self._parse_load_report(instance, words[4]),
            )
        if kind == "note_from":
            return None
        raise SimulatorProtocolError(f"unknown message {kind}")

    def start_instance(self, instance: str, words: list[str]) -> None:
        """An instance begins."""
        pairs = parse_setting_pairs(words[2:])
        settings = parse_settings(pairs)
        fields = pairs.get("loadReport.fields", "")
        self.load_report_fields[instance] = [f for f in fields.split(",") if f and f != "-"]
        self.schedulers[instance] = Scheduler(settings, int(words[1]), self.now_us)


def format_action(action: Action) -> str:
    """An action as a line of the wire."""
    match action:
        case Send(request, node):
            return f"place {request} {node} 0"
        case Reject(request, retry_after):
            return f"bounce {request} {retry_after}"
        case Fail(request):
            return f"surrender {request}"
        case Cancel(request, attempt):
            return f"undo_send {request} {attempt}"
        case SetTimer(delay, label):
            return f"defer {delay} {label}"
        case HealthCheck(node):
            return f"probe {node}"
        case WatchEndpoints():
            return "track 1"
        case LogNote(text):
            return f"trace {text}"
    raise TypeError(f"no such action: {action!r}")


class LineReader:
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


def parse_listed_endpoint(words: list[str]) -> Endpoint:
    return Endpoint(
        name=words[1],
        status=ENDPOINT_STATUS_BY_WORD[words[2]],
        shard=-1 if words[4] == "-" else int(words[4]),
        started_us=parse_optional_int(words[6]) if len(words) > 6 else 0,
    )


def run_scheduler(scheduler: Scheduler, name: str, now_us: int, events: list[Event]) -> list[Action]:
    try:
        return scheduler.handle(now_us, events)
    except Exception as fault:
        traceback.print_exc()
        text = f"{type(fault).__name__}: {fault}".replace("\n", " ")
        raise SchedulerFailedError(f"as {name}\nbroken {text}") from fault


def run_batch(session: AdapterSession, reader: LineReader, out: list[str]) -> None:
    """Read up to the batch's end, hand each head its events, write the actions."""
    head = ""
    waiting: dict[str, list[Event]] = {}

    while True:
        w = reader.next()
        if w is None:
            raise SimulatorProtocolError("input ended inside a batch")
        kind = w[0]
        if kind == "eof_batch":
            break
        if kind == "manifest":
            entries = []
            for _ in range(int(w[2])):
                line = reader.next()
                if line is None or line[0] != "item":
                    raise SimulatorProtocolError("a list is shorter than it says")
                entries.append(parse_listed_endpoint(line))
            session.endpoint_lists[int(w[1])] = tuple(entries)
        elif kind == "about":
            head = w[1]
        elif kind == "enlist":
            if not head:
                raise SimulatorProtocolError("enlist before any about")
            waiting.pop(head, None)
            try:
                session.start_instance(head, w)
            except ValueError as fault:
                raise SimulatorProtocolError(str(fault)) from None
            waiting[head] = []
        elif kind == "shutdown":
            if head not in session.schedulers:
                raise SimulatorProtocolError(f"shutdown for unknown instance {head or '(none)'}")
            waiting.pop(head, None)
            del session.schedulers[head]
        else:
            if head not in session.schedulers:
                raise SimulatorProtocolError(
                    f"{kind} for an instance that was not enlisted: {head or '(none)'}"
                )
            event = session.parse_event(head, w)
            if event is not None:
                waiting.setdefault(head, []).append(event)
    for name, events in waiting.items():
        acts = run_scheduler(session.schedulers[name], name, session.now_us, events)
        if acts:
            out.append(f"as {name}")
            out.extend(format_action(a) for a in acts)


def run(source: TextIO, sink: TextIO) -> int:
    """Serve the wire until the input ends."""
    link = AdapterSession()
    reader = LineReader(source)
    try:
        while (w := reader.next()) is not None:
            if w == [""]:
                continue
            if w[0] != "sync" or len(w) != 3:
                raise SimulatorProtocolError(f"expected sync, found {w[0]}")
            link.now_us = int(w[1])
            out: list[str] = []
            try:
                run_batch(link, reader, out)
            except SchedulerFailedError as fault:
                out.append(str(fault))
            out.append(f"ready {w[2]}")
            sink.write("\n".join(out) + "\n")
            sink.flush()
    except SimulatorProtocolError as fault:
        print(f"line {reader.number}: {fault}", file=sys.stderr)
        return 2
    except (IndexError, ValueError, KeyError) as fault:
        print(f"line {reader.number}: malformed ({type(fault).__name__}: {fault})", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout))
