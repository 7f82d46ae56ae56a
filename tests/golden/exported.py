"""What the program tells operators, made anew from fixed inputs: admin API, counters, plug-ins, commands."""

import asyncio
import copy
import enum
import json
import random
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import pyarrow.parquet as pq
import tomli_w
from click.testing import CliRunner

from tests.golden.stored import HERE, LISTING, NOW, lines, operator_file, without
from umberlead import configuration
from umberlead.commands import command
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.emulator.loop import Alarm, Loop
from umberlead.frontends.admin_api import AdminApi
from umberlead.membership.model import FilePosition, ListProblem, Source
from umberlead.membership.service import WatchedListService, WatchedListSettings
from umberlead.net.close_reason import CloseReason
from umberlead.net.http_message import HttpRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.plugins import PluginHooks
from umberlead.requests.invariants import Invariant
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.send_guard import Denial
from umberlead.requests.types import Answer, AnswerKind, Attempt, IncomingRequest
from umberlead.routing_tests.model import Outcome
from umberlead.scheduling.actions import EndReason
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Repeatability
from umberlead.zones.integration import ZoneIntegration, integrate_zones
from umberlead.zones.model import MICROSECONDS_PER_S, Contact, ZoneState

ENUMS: tuple[type[enum.Enum], ...] = (
    Repeatability,
    EndpointStatus,
    AttemptResult,
    EndReason,
    AnswerKind,
    Denial,
    CloseReason,
    Invariant,
    ZoneState,
    Outcome,
    Source,
)
PLUGIN = """
import json

API = 1

def tell(*told):
    with open({path!r}, "a") as file:
        file.write(json.dumps(told) + "\\n")

def request_taken(request):
    tell("request_taken", request)
    return "by hand" if request["units"] > 5.9 else {{"seen": request["id"]}}

def outcome(request, outcome):
    tell("outcome", request, outcome)

def answer(request, answer):
    tell("answer", request, answer)
"""


def enums(_: Path) -> bytes:
    """The values that stand in counters' names, JSON and stored data, in order."""
    return lines([[member.value for member in kind] for kind in ENUMS])


# Requests of a front


class Carrier:
    """Ends attempts by a seed's draw."""

    def __init__(self, engine: RequestLifecycle, loop: Loop) -> None:
        self.engine, self.loop, self.chance = engine, loop, random.Random(3)

    def start(self, attempt: Attempt) -> None:
        result = self.chance.choices(list(AttemptResult), weights=[40, 10, 8, 0, 8, 8, 0, 8])[0]
        self.loop.at(self.loop.now + self.chance.randrange(1, 400_000), lambda: self.end(attempt, result))

    def end(self, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.request.attempt is attempt:
            self.engine.attempt_ended(attempt, result)

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        self.loop.soon(lambda: self.end(attempt, result))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        return False


def engine_of(conf: configuration.Config, loop: Loop) -> RequestLifecycle:
    """An engine in virtual time over ten servers in two rooms."""

    def alarm(delay: int, what: Callable[[], None]) -> Alarm:
        made = Alarm(what)
        loop.at(loop.now + delay, made)
        return made

    wheel = TimerWheel(lambda: loop.now, alarm, 2000)
    return RequestLifecycle(
        conf.settings, 7, lambda: loop.now, wheel, loop.soon, Counters(), lambda event, **told: None
    )


def serve(engine: RequestLifecycle, loop: Loop) -> None:
    """Ten servers in two rooms, and 400 requests in four seconds, some of whose clients leave."""
    engine.transport, chance = Carrier(engine, loop), random.Random(5)
    servers = [
        Endpoint(f"n{k}", EndpointStatus.UP, k % 5, zone=("room-a", "room-b")[k // 5]) for k in range(10)
    ]
    engine.apply_endpoint_list(EndpointList(True, tuple(servers)))

    def ask(number: int) -> None:
        cls, plan = chance.choice(list(engine.classes)), chance.choice(sorted(engine.plans))
        left = chance.random() < 0.1
        until = loop.now + chance.choice((5_000, 300_000, 2_000_000))
        request = IncomingRequest(
            cls,
            plan,
            f"v{number % 7}",
            f"k{number}",
            chance.randrange(-1, 5),
            chance.uniform(0.5, 6),
            until,
            None,
            1,
            chance.random() < 0.2,
            b"r%d" % number,
        )

        def done(answer: Answer) -> None:
            """No one waits for it."""

        ticket = engine.accept(request, done)
        if left:
            loop.at(loop.now + 50_000, lambda: engine.on_client_disconnected(ticket))

    for number in range(400):
        loop.at(loop.now + number * 10_000, lambda number=number: ask(number))  # type: ignore[misc]
    loop.run(loop.now + 12 * MICROSECONDS_PER_S)


def operator_conf(folder: Path) -> configuration.Config:
    """The full operator's file, read."""
    return configuration.load({"UMBERLEAD_CONFIG": str(operator_file(folder))})


def plugin_calls(folder: Path) -> bytes:
    """What a plug-in is told, with the counts of the requests that it was told of."""
    script, told, loop = folder / "hooks.py", folder / "told.jsonl", Loop()
    script.write_text(PLUGIN.format(path=str(told)))
    engine = engine_of(operator_conf(folder), loop)
    engine.hooks = PluginHooks(
        (script,), 60 * MICROSECONDS_PER_S, engine.counters, lambda event, **more: None
    )
    serve(engine, loop)
    calls = [json.loads(line) for line in told.read_text().splitlines()]
    return lines([engine.counters.report(), *calls[:300]])


# The admin API


def called(front: AdminApi, method: bytes, path: str) -> list[Any]:
    """A call and its answer."""
    conn = mock.Mock(spec=ServerConnection)
    front.handle_request(conn, HttpRequest(method, path.encode()))
    (reply,) = (call.args for call in conn.mock_calls if call.args and isinstance(call.args[0], int))
    return [method.decode(), path, reply[0], [h.decode() for h in reply[1]], reply[2].decode()]


def admin_plain(folder: Path) -> bytes:
    """Readiness, counts and drains by hand."""
    loop = Loop()
    engine, ready, drained = engine_of(operator_conf(folder), loop), [True], list[tuple[str, bool]]()
    serve(engine, loop)

    def mark(node: str, out: bool) -> None:
        if node == "n3":
            raise OSError(28, "No space left on device")
        drained.append((node, out))

    front = AdminApi(engine, lambda: ready[0], mark)
    told = [called(front, b"GET", path) for path in ("/control/ready", "/control/counters", "/control/none")]
    told += [called(front, b"HEAD", "/control/ready"), called(front, b"PUT", "/control/ready")]
    for word in ("offline", "online", "away"):
        told += [
            called(front, method, f"/control/chunk-servers/{node}/{word}")
            for node in ("n%31", "n3", "none")
            for method in (b"PUT", b"GET")
        ]
    ready[0] = False
    told += [called(front, b"GET", path) for path in ("/control/ready", "/control/list", "/control/rooms")]
    return lines([told, drained])


def joined_rooms(engine: RequestLifecycle, loop: Loop) -> ZoneIntegration:
    """Rooms one of which is lost and comes back in part."""
    joined = integrate_zones(
        configuration.ZoneConfig("room-a", ("room-b",)),
        engine,
        7,
        lambda: loop.now,
        lambda event, **told: None,
    )
    serve(engine, loop)
    rooms = joined.router.zone_health
    for met in (Contact.ANSWERED, Contact.BROKEN, Contact.BROKEN):
        for member in list(rooms.members.values()):
            rooms.record_attempt(loop.now, member.name, "x")
            rooms.record_outcome(
                loop.now, member.name, "x", met if member.zone == "room-b" else Contact.ANSWERED, 9_000
            )
        loop.run(loop.now + MICROSECONDS_PER_S // 10)
    rooms.record_peer_state(loop.now, "f2", "room-b", ZoneState.DOWN)
    rooms.record_peer_state(loop.now, "f3", "room-b", ZoneState.DEGRADED)
    joined.tick()
    return joined


def admin_rooms(folder: Path) -> bytes:
    """What is held of rooms, and what operators say of them."""
    loop = Loop()
    engine = engine_of(operator_conf(folder), loop)
    front = AdminApi(engine, lambda: True, lambda node, out: None)
    front.zones = joined_rooms(engine, loop)
    told = [called(front, b"GET", "/control/rooms")]
    for path in ("room-a/forbid-spill", "room%2Db/evacuate", "room-a/clear", "none/clear", "room-a/away"):
        told += [called(front, b"PUT", f"/control/rooms/{path}"), called(front, b"GET", "/control/rooms")]
    return lines([told, engine.counters.report()])


def admin_lists(folder: Path) -> bytes:
    """The list in force, one that is held back and confirmed, and one that is refused."""
    main = folder / "servers.list"
    text = "format 1\nversion 3\nnetwork 127.0.0.0/8\n"
    text += "".join(f"server s{k} address 127.0.0.1:{k + 1} shard {k} weight 1\n" for k in range(4))
    main.write_text(f"{text}end 7\n")
    loop = asyncio.new_event_loop()
    service = WatchedListService(
        WatchedListSettings(main),
        0,
        loop,
        lambda: NOW,
        Counters(),
        mock.Mock(),
        lambda change: None,
        new_observer=mock.Mock,
    )
    front = AdminApi(mock.Mock(), lambda: True, lambda node, out: None, lambda node: True)
    front.watched_lists = service
    told: list[Any] = []

    def look() -> None:
        told.extend(called(front, b"GET", path) for path in ("/control/list", "/control/list/servers"))

    try:
        service.load_first_list()
        service.set_manual_drain("s1", True, NOW)
        look()
        service.membership.apply_files(NOW, without(LISTING, "b"))
        look()
        told += [called(front, b"PUT", f"/control/list/confirm/{word}") for word in ("00", "cd" * 8)]
        told += [called(front, b"GET", "/control/list/confirm/cd"), called(front, b"PUT", "/control/list")]
        service.membership.reject_files(
            [ListProblem("L101", FilePosition("servers.list", 3, 4), "found 'srver'", "server")]
        )
        look()
    finally:
        service.close()
        loop.close()
    return lines(told)


# Commands


def run(folder: Path, *words: str) -> list[Any]:
    """A command line with what it prints and its exit code."""
    got = CliRunner().invoke(command, [w.replace("FOLDER", str(folder)) for w in words])
    said = got.output.replace(str(folder), "FOLDER").replace(str(HERE), "GOLDEN")
    return [list(words), got.exit_code, said]


OLD_LIST = """format 1
version 1
network 127.0.0.0/8
server a address 127.0.0.1:1 shard 0 room room-a weight 1
server b address 127.0.0.1:2 shard 0 room room-b
server c address 127.0.0.1:3 shard 1
end 6
"""
NEW_LIST = """format 1
version 2
network 127.0.0.0/8
server a address 127.0.0.1:4 shard 1 room room-c state draining weight 0.5 max-units 4
server b address 127.0.0.1:2 shard 0 room room-b
server d address 127.0.0.1:3 shard 2
end 6
"""
SUITE = """format 1
config old.toml
list old.list
collection scans plan priority shards 0..1 volumes 2
scenario calm seed 3
load scans class image-read rate 5 from 0s to 1s units 2
expect served
expect attempts at-most 1
expect collection scans shard 1 only a
end 9
"""
SCRIPT = """format 1

scenario short seed 1
fleet servers 4 fronts 2
day seconds 4 load 60%
at 1s costly image-upload part 1.5% times 15 for 1s
at 1s neighbour 50% n00 for 1s
at 2s kill n01
expect answered-once
end 8
"""


def commands(folder: Path) -> bytes:
    """Commands that print fields: two lists compared, two configurations compared, a suite's verdicts."""
    for name, text in (("old.list", OLD_LIST), ("new.list", NEW_LIST), ("calm.suite", SUITE)):
        (folder / name).write_text(text)
    old = tomllib.loads((HERE / "operator.toml").read_text())
    for table in ("membership", "rooms", "plugins"):
        del old[table]
    new = copy.deepcopy(old)
    for rows, other in (
        (new["settings"]["grades"], {"aim": 400_000}),
        (new["settings"]["plans"], {"weight": 3}),
    ):
        rows[0] |= other
    (folder / "old.toml").write_text(tomli_w.dumps(old))
    grade = {
        "aim": 650_000,
        "hardLimit": 6_100_000,
        "effect": "at_most_once",
        "group": "cell",
        "memorySpan": 9,
        "sequential": True,
        "credit": 1,
        "lateWorth": 0.1,
    }
    plan = {
        "weight": 1,
        "usualRate": 1,
        "reservation": 1,
        "valueFactor": 1,
        "neverOver": 1,
        "mostAtOnce": 1,
        "capSlack": 1,
    }
    new["settings"]["grades"][2] |= grade
    new["settings"]["plans"][0] |= plan
    (folder / "new.toml").write_text(tomli_w.dumps(new))
    lists = "FOLDER/old.list", "FOLDER/new.list"
    confs = "FOLDER/old.toml", "FOLDER/new.toml"
    return lines(
        [
            run(folder, "list", "diff", *lists),
            run(folder, "list", "diff", *lists, "--json"),
            run(folder, "list", "check", lists[0], "--json"),
            run(folder, "expect", "diff", "--list", lists[0], *confs),
            run(folder, "expect", "diff", "--list", lists[0], *confs, "--json"),
            run(folder, "expect", "FOLDER/calm.suite", "--workers", "1", "--json"),
        ]
    )


def rehearsal(folder: Path) -> bytes:
    """A short rehearsal's result, and the columns of its records with their first row."""
    (folder / "short.script").write_text(SCRIPT)
    out, records = "FOLDER/result.json", "FOLDER/records"
    code = run(folder, "rehearse", "FOLDER/short.script", "--out", out, "--records", records)[1]
    tables = {}
    for path in sorted((folder / "records" / "short").iterdir()):
        table = pq.read_table(path)
        tables[path.name] = [[str(f.type), f.name] for f in table.schema] + table.slice(0, 1).to_pylist()
    return lines([code, (folder / "result.json").read_text(), tables])


FILES: dict[str, Callable[[Path], bytes]] = {
    "enums.json": enums,
    "plugin_calls.json": plugin_calls,
    "admin_plain.json": admin_plain,
    "admin_rooms.json": admin_rooms,
    "admin_lists.json": admin_lists,
    "commands.json": commands,
    "rehearsal.json": rehearsal,
}
