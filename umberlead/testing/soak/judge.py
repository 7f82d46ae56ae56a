"""Invariants of a soak run, checked on its records. Performs no I/O; times are monotonic nanoseconds."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from umberlead.requests.invariants import slow_start_bound
from umberlead.testing.soak.records import ClientRecord, Event, NodeRecord

MS = 1_000_000
LATE_ANSWER_NS = 500 * MS  # after a request's deadline, from when it counts as lost
LEFT_GRACE_NS = 100 * MS  # after a client disconnected, in which an attempt may still begin
BUDGET_SLACK_NS = 150 * MS
DRAIN_GRACE_NS = 2050 * MS  # after a front learnt of a drain, in which an attempt may still begin
BY_HAND_GRACE_NS = 1050 * MS
MACHINE_SLACK_NS = 120 * MS  # unnoticed lateness allowed to a process of the test itself
KILL_SLACK_NS = 400 * MS  # around a kill, in which it explains a broken connection
CROWD_SLACK_NS = 500 * MS  # after a crowd, until its last connection is closed
# Faults at a chunk server, or at the link to it, that may end a connection to it or delay what it sends.
ENDS_ANSWERS_AT_NODE = frozenset(("link_reset", "link_stall", "link_pieces", "node_kill"))
# Events at a front that end its connections to chunk servers.
ENDS_ANSWERS_AT_FRONT = frozenset(("connections_break", "front_killed", "front_ended"))
# Faults that break connections to chunk servers off.
BREAKS_ANSWERS = frozenset(("link_reset", "node_kill", "connections_break"))
LINK_SLACK_NS = 300 * MS  # after a link fault, in which delayed data still arrives


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant: the name of the rule, and a description."""

    rule: str
    what: str


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that the settings of the run imply.

    Attributes:
        unsafe: classes that must never run twice.
        max_attempts: maximum number of attempts of one request.
        cold_requests: requests of mean size that a chunk server can take in a window when it starts.
        cold_share: the fraction of its capacity that it has then; it grows linearly.
        cold_window_ns: length of that window.
        warm_up_ns: time until it has its full capacity.
        mean_units: mean units of a request.
    """

    unsafe: frozenset[str]
    max_attempts: int
    cold_requests: float
    cold_share: float
    cold_window_ns: int
    warm_up_ns: int
    mean_units: float


@dataclass(slots=True)
class Evidence:
    """All records of a run."""

    clients: list[ClientRecord] = field(default_factory=list)
    nodes: list[NodeRecord] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


def judge(evidence: Evidence, limits: Limits) -> list[Violation]:
    """Return all violations, in the order of the rules below."""
    return [
        *find_lost_requests(evidence),
        *find_forged_answers(evidence.clients),
        *find_repeated_requests(evidence, limits),
        *find_attempts_after_disconnect(evidence),
        *find_excess_budgets(evidence),
        *find_attempts_out_of_service(evidence),
        *find_slow_start_overloads(evidence, limits),
        *find_cut_answers(evidence),
    ]


def _kill_times(events: Iterable[Event]) -> dict[str, list[int]]:
    """Return when processes of each front were killed, in order."""
    found = defaultdict(list)
    for event in events:
        if event.what == "front_killed":
            found[event.who].append(event.at)
    return found


def _crowd_intervals(events: Iterable[Event]) -> dict[str, list[tuple[int, int]]]:
    """Return the intervals in which idle clients used up the descriptors of each front."""
    found = defaultdict(list)
    for event in events:
        if event.what == "crowd":
            found[event.who].append((event.at, event.at + int(event.value * 1e9) + CROWD_SLACK_NS))
    return found


def _explains_end(event: Event, row: NodeRecord, front: str) -> bool:
    """Return whether an event ended the answer of an attempt of `front`, or delayed it, or may have."""
    at_node = event.what in ENDS_ANSWERS_AT_NODE and event.who == _slot(row.node)
    at_front = event.what in ENDS_ANSWERS_AT_FRONT and event.who.removeprefix("f") == front.removeprefix("f")
    end = event.at + int(event.value * 1e9) + KILL_SLACK_NS
    if event.what in ("link_stall", "link_pieces"):
        return at_node and event.at <= row.closed and row.first <= end
    return (at_node or at_front) and event.at - KILL_SLACK_NS <= row.closed <= end


def _long_answer_connections(evidence: Evidence) -> set[tuple[str, int]]:
    """Return the clients' connections, by front and time, on which a long answer came slowly."""
    long_ids = {row.id for row in evidence.nodes if row.long}
    return {(row.front, row.connected) for row in evidence.clients if row.id in long_ids and row.begun}


def _broken_connections(evidence: Evidence) -> dict[tuple[str, int], int]:
    """Return the clients' connections on which an answer broke off at its server, and when.

    The protocol counts such an answer as failed, not as lost, as long as the client can tell. Keys are the
    front and the time at which the connection was established.
    """
    faults = [
        (event.at - LINK_SLACK_NS, event.at + int(event.value * 1e9) + LINK_SLACK_NS)
        for event in evidence.events
        if event.what in BREAKS_ANSWERS
    ]
    fronts = {row.id: row.front for row in evidence.clients if row.begun}
    ends = [event for event in evidence.events if event.what == "front_ended"]
    cut = {
        row.id: row.closed
        for row in evidence.nodes
        if row.cut
        and (
            any(begin <= row.closed <= end for begin, end in faults)
            or (row.id in fronts and any(_explains_end(event, row, fronts[row.id]) for event in ends))
        )
    }
    return {(row.front, row.connected): cut[row.id] for row in evidence.clients if row.id in cut}


def _is_answered_in_time(row: ClientRecord, due: int, long_connections: set[tuple[str, int]]) -> bool:
    """Return whether a request was answered by `due`, or waits for a long answer that began by then.

    A long answer takes as long as its server does, and so do the answers behind it on its connection.
    """
    if row.end == "answered" and row.ended <= due:
        return True
    if (row.front, row.connected) not in long_connections or row.end not in ("answered", "open"):
        return False
    return row.behind > 0 or (row.end == "answered" and 0 < row.begun <= due)


def find_lost_requests(evidence: Evidence) -> list[Violation]:
    """Find requests sent completely without a final answer in time, unless their client caused that.

    A long answer that has begun in time may end late; `find_cut_answers` judges the end of its attempt.
    """
    kills = _kill_times(evidence.events)
    crowds = _crowd_intervals(evidence.events)
    forwarded = {row.id for row in evidence.nodes}
    broken = _broken_connections(evidence)
    long_connections = _long_answer_connections(evidence)
    found = []
    for row in evidence.clients:
        if not row.sent_last or row.end in ("left", "closing"):
            continue
        due = row.sent_last + int(row.budget * 1e9) + LATE_ANSWER_NS + MACHINE_SLACK_NS
        if _is_answered_in_time(row, due, long_connections):
            continue
        if row.end == "reset" and row.used > 0:
            continue  # it crossed the close of an idle connection, unread
        if row.end == "reset" and row.behind > 0:
            continue  # pipelined, and unread after an answer that closed the connection
        broke_at = broken.get((row.front, row.connected))
        if row.end in ("eof", "reset") and broke_at is not None and row.ended <= broke_at + LATE_ANSWER_NS:
            continue  # its answer, or the one before it, had begun and broke off at the server
        is_new = row.used == 0 and row.end in ("reset", "eof") and row.id not in forwarded
        if is_new and any(begin <= row.connected <= end for begin, end in crowds[row.front]):
            continue  # a front without free descriptors may close a new connection unread
        ended = row.ended or due
        if any(
            row.connected <= at + KILL_SLACK_NS and at <= ended + KILL_SLACK_NS for at in kills[row.front]
        ):
            continue
        took = (ended - row.sent_last) // MS
        what = (
            f"{row.id} at {row.front}: {row.kind}, {row.end} {row.status} after {took} ms of {row.budget} s"
        )
        found.append(Violation("lost", f"{what}, used {row.used}, behind {row.behind}"))
    return found


def find_forged_answers(clients: Iterable[ClientRecord]) -> list[Violation]:
    """Find answers that were not produced by a chunk server for that request."""
    return [Violation("forged", f"{row.id} at {row.front}") for row in clients if not row.sound]


def find_repeated_requests(evidence: Evidence, limits: Limits) -> list[Violation]:
    """Find requests that ran twice though they must not, had too many attempts, or ran twice at once."""
    by_id: dict[str, list[NodeRecord]] = defaultdict(list)
    for row in _latest_records(evidence.nodes):
        if row.last:
            by_id[row.id].append(row)
    found = []
    for id_, rows in by_id.items():
        runs = [row for row in rows if row.ran]
        if len(runs) > 1 and runs[0].class_name in limits.unsafe:
            found.append(Violation("duplicate", f"{id_} ran {len(runs)} times"))
        if len(rows) > limits.max_attempts:
            found.append(Violation("attempts", f"{id_} was sent {len(rows)} times"))
    return found


def _latest_records(rows: Iterable[NodeRecord]) -> list[NodeRecord]:
    """Return one record per attempt: the one of its end if there is one."""
    found: dict[tuple[str, str, int], NodeRecord] = {}
    for row in rows:
        key = row.id, row.node, row.first
        if key not in found or row.closed:
            found[key] = row
    return list(found.values())


def _undelayed_attempts(evidence: Evidence) -> list[NodeRecord]:
    """Return the attempts that no link fault delayed: their time of arrival shows when they were sent."""
    held = defaultdict(list)
    for event in evidence.events:
        if event.what in ("link_stall", "link_pieces"):
            held[event.who].append((event.at, event.at + int(event.value * 1e9) + LINK_SLACK_NS))
    return [
        row
        for row in _latest_records(evidence.nodes)
        if not any(begin <= row.first <= end for begin, end in held[_slot(row.node)])
    ]


def _slot(node: str) -> str:
    """Return the slot number of a chunk server from its name in records, such as s3-1#0."""
    return node.partition("#")[0].partition("-")[0].removeprefix("s")


def find_attempts_after_disconnect(evidence: Evidence) -> list[Violation]:
    """Find attempts that began more than 0.1 s after their client disconnected."""
    left = {row.id: row.ended for row in evidence.clients if row.end == "left"}
    found = []
    for row in _undelayed_attempts(evidence):
        since = left.get(row.id)
        if since is not None and row.first > since + LEFT_GRACE_NS + row.late + MACHINE_SLACK_NS:
            found.append(Violation("client_left", f"{row.id} began {(row.first - since) // MS} ms after"))
    return found


def find_excess_budgets(evidence: Evidence) -> list[Violation]:
    """Find attempts whose X-Budget exceeds the time that their client had left."""
    by_id = {row.id: row for row in evidence.clients}
    found = []
    for row in _undelayed_attempts(evidence):
        client = by_id.get(row.id)
        if client is None or not client.sent_last or not row.last:
            continue
        left = client.sent_last + int(client.budget * 1e9) - row.first
        over = int(row.budget * 1e9) - max(left, 0)
        if over > BUDGET_SLACK_NS + row.late + MACHINE_SLACK_NS:
            found.append(Violation("budget", f"{row.id} got budget {row.budget} s, {over // MS} ms too much"))
    return found


def find_attempts_out_of_service(evidence: Evidence) -> list[Violation]:
    """Find attempts at a chunk server that all fronts knew to be draining, gone or manually drained."""
    spans = _out_of_service(evidence.events)
    found = []
    for row in _undelayed_attempts(evidence):
        for begin, end in spans.get(row.node, ()):
            if begin + row.late + MACHINE_SLACK_NS < row.first < end:
                late = (row.first - begin) // MS
                found.append(Violation("drain", f"{row.id} began at {row.node} {late} ms too late"))
    return found


def _out_of_service(events: Iterable[Event]) -> dict[str, list[tuple[int, int]]]:
    """Return the intervals in which no attempt may begin at each server."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    forever = 1 << 62
    for event in events:
        match event.what:
            case "node_drains":  # recorded for when all fronts know it
                spans[event.who].append((event.at + DRAIN_GRACE_NS, forever))
            case "node_out":
                spans[event.who].append((event.at + BY_HAND_GRACE_NS, forever))
            case "node_back":
                begin, _ = spans[event.who].pop()
                spans[event.who].append((begin, event.at))
    return spans


def find_cut_answers(evidence: Evidence) -> list[Violation]:
    """Find sound answers that a front cut off while their server sent them.

    One that is known to be small may be cut off at its request's time, since its client gets another final
    answer then. One that may be long passes through, however long its server takes.
    """
    clients = {row.id: row for row in evidence.clients}
    found = []
    for row in evidence.nodes:
        client = clients.get(row.id)
        if not row.cut or client is None or not client.sent_last or client.end in ("left", "open"):
            continue
        due = client.sent_last + int(client.budget * 1e9) - MACHINE_SLACK_NS
        head_in_time = client.begun > 0 or row.last < due
        in_time = head_in_time if row.long else row.closed < due
        if in_time and not any(_explains_end(event, row, client.front) for event in evidence.events):
            after = (row.closed - row.last) // MS
            what = f"{row.id} at {row.node}, {after} ms after its request came, of {client.budget} s"
            found.append(Violation("cut_off", f"{what}; its client: {client.end} {client.status}"))
    return found


def find_slow_start_overloads(evidence: Evidence, limits: Limits) -> list[Violation]:
    """Find warming chunk servers that got more in a window than their limit at its end."""
    by_node: dict[str, list[NodeRecord]] = defaultdict(list)
    for row in _latest_records(evidence.nodes):
        by_node[row.node].append(row)
    found = []
    for event in evidence.events:
        if event.what != "node_started":
            continue
        end = event.at + limits.warm_up_ns
        rows = sorted((r for r in by_node[event.who] if event.at <= r.first < end), key=lambda r: r.first)
        if over := _worst_window(rows, event.at, limits):
            found.append(Violation("slow_start", f"{event.who} {over}"))
    return found


def _worst_window(rows: list[NodeRecord], started: int, limits: Limits) -> str:
    """Describe the window that exceeds its bound most after a start; empty if none does."""
    worst = 0.0
    text = ""
    first = 0
    units = 0.0
    for row in rows:
        units += row.units
        while rows[first].first <= row.first - limits.cold_window_ns:
            units -= rows[first].units
            first += 1
        age = (row.first - started) / limits.warm_up_ns
        grown = 1 + (1 / limits.cold_share - 1) * age
        requests = units / limits.mean_units
        bound = slow_start_bound(limits.cold_requests * grown)
        if requests - bound > worst:
            worst = requests - bound
            text = (
                f"got {requests:.1f} of {bound:.1f} requests {(row.first - started) // MS} ms after its start"
            )
    return text
