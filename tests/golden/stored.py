"""What the program stores or exchanges, made anew from fixed inputs: state, snapshot, objects, gossip."""

import asyncio
import hashlib
import itertools
import json
import secrets
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from umberlead import configuration
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.frontends.object_api.handler import ObjectApi
from umberlead.frontends.object_api.manifest import Manifest
from umberlead.frontends.object_api.uploads import UploadRegistry
from umberlead.gossip.messages import GossipKeys, MemberUpdate, Observation
from umberlead.gossip.messages import GossipMessage as Datagram
from umberlead.gossip.swim import Gossip
from umberlead.handover.process_claims import ConnectionUse, DescriptorClaim
from umberlead.handover.shared_state import SharedState
from umberlead.membership import snapshot
from umberlead.membership.model import CheckedList, EndpointSpec
from umberlead.net.client_connections import ClientGroup
from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.net.http_message import HttpRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Attempt, Reply
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.zones.model import MICROSECONDS_PER_S, ZoneState

HERE = Path(__file__).parent
NOW = 1_700_000_000_000_000  # us of Unix time
KEY = bytes(range(32))
OPERATOR_FILES = ("servers.list", "gate.suite", "peers.keys", "plugin.py")
DRAINED = ("10.0.0.1:80", "[::1]:8080", "node a/ü%x")


def lines(value: Any) -> bytes:
    """JSON for a golden file."""
    return json.dumps(value, indent=1, ensure_ascii=False).encode() + b"\n"


def operator_file(folder: Path, text: bytes | None = None) -> Path:
    """The full operator's file in a folder where all that it names exists."""
    for name in OPERATOR_FILES:
        (folder / name).touch()
    path = folder / "front.toml"
    path.write_bytes((HERE / "operator.toml").read_bytes() if text is None else text)
    return path


@contextmanager
def counted_names() -> Iterator[None]:
    """Random names come in order: 00...01, 00...02."""
    numbers = itertools.count(1)
    with mock.patch.object(secrets, "token_hex", lambda size: f"{next(numbers):0{2 * size}x}"):
        yield


# The state folder


CLAIM = DescriptorClaim(5, (ConnectionUse(1, 2, 3, 4), ConnectionUse(1000, 20, 30, 1_000_000)))


def tree(folder: Path) -> dict[str, str]:
    """Files by path, and folders with a slash at the end; the boot id's line is left out."""
    found = {}
    for path in sorted(folder.rglob("*")):
        name = str(path.relative_to(folder))
        if path.is_dir():
            found[f"{name}/"] = ""
        else:
            found[name] = path.read_bytes().decode("latin-1")
    found["clock"] = found["clock"].partition("\n")[2]
    return found


def state_folder(folder: Path) -> bytes:
    """Two processes of a front: one has a claim, the other leaves."""
    with counted_names():
        first, second = SharedState(folder / "state"), SharedState(folder / "state")
    first.publish(lambda others: CLAIM)
    for node in DRAINED:
        first.set_drain_override(node, True)
    first.record_agent(True)
    for anchor in (NOW, NOW - 5, -3):
        first.clock_anchors.add(anchor)
    second.announce_leaving()
    return lines(tree(folder / "state"))


# The snapshot


LISTING = CheckedList(
    41,
    "ab" * 32,
    {
        "a": EndpointSpec("a", ("10.0.0.1", 80), 0, EndpointStatus.UP, "room-a", 1.5, 64.0),
        "b": EndpointSpec("b", ("::1", 8080), 3, EndpointStatus.DRAINING, "", None, 0.0),
    },
    ("servers.list", "servers.d/a.list"),
)


def saved_list(_: Path) -> bytes:
    """The snapshot's bytes."""
    return snapshot.encode_snapshot(LISTING, NOW)


# Objects


PUT = Manifest(
    "scans", "a/é", 1500, "0" * 32, 1_700_000_000, 1024, [("0a" * 12, 1500)], {"content-type": "x/y"}
)
MULTIPART = Manifest(
    "scans",
    "b",
    9000,
    f"{'1' * 32}-2",
    1_700_000_001,
    1024,
    [("0b" * 12, 8000), ("0c" * 12, 1000)],
    {"content-type": "text/plain", "x-amz-meta-a": "b"},
    "4d-5-1-0d",
)


class Store:
    """Chunk servers that hold what was written, in place of connections to them."""

    def __init__(self, engine: RequestLifecycle) -> None:
        self.engine = engine
        self.blocks: dict[bytes, bytes] = {}
        self.asked: list[list[str]] = []

    def start(self, attempt: Attempt) -> None:
        out: OutgoingRequest = attempt.request.incoming.payload
        block = out.target.partition(b"block=")[2]
        body = bytes(out.body)
        told = body.decode() if body.startswith(b"{") else hashlib.sha256(body).hexdigest()
        self.asked.append(
            [out.method.decode(), out.target.decode(), *(h.decode() for h in out.headers), told]
        )
        if out.method == b"PUT":
            self.blocks[block] = body
            reply = Reply(200)
        else:
            reply = Reply(200, self.blocks[block]) if block in self.blocks else Reply(404)
        asyncio.get_running_loop().call_soon(self.engine.attempt_ended, attempt, AttemptResult.OK, reply)

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        raise AssertionError("nothing is stopped here")

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        return False


async def _objects(conf: configuration.Config) -> list[Any]:
    assert conf.object_api is not None
    wheel = TimerWheel(lambda: NOW, lambda delay, call: mock.Mock(), 2000)
    soon: Callable[[Callable[[], None]], Any] = asyncio.get_running_loop().call_soon
    engine = RequestLifecycle(
        conf.settings, 7, lambda: NOW, wheel, soon, Counters(), lambda event, **told: None
    )
    store = engine.transport = Store(engine)
    engine.apply_endpoint_list(
        EndpointList(True, tuple(Endpoint(f"n{k}", EndpointStatus.UP, k) for k in range(5)))
    )
    clients = ClientGroup(9, lambda: NOW, engine.counters, 0, 1 << 24, lambda *_, **__: None)
    ledger = UploadRegistry("objects-1", lambda: NOW, 10, 10, MICROSECONDS_PER_S)
    front = ObjectApi(conf.object_api, engine, ledger, clients, MICROSECONDS_PER_S, mock.Mock())

    async def ask(method: bytes, target: bytes, body: bytes = b"", **headers: bytes) -> list[Any]:
        named = {name.replace("_", "-").encode(): value for name, value in headers.items()}
        message = HttpRequest(method, target, named, body, received_us=NOW)
        conn = mock.Mock(spec=ServerConnection, active_request=message)
        conn.check_disconnected.return_value = False
        front.handle_request(conn, message)
        await asyncio.gather(*front.tasks)
        (reply,) = (call.args for call in conn.mock_calls if call.args and isinstance(call.args[0], int))
        return [method.decode(), target.decode(), reply[0], [h.decode() for h in reply[1]], reply[2].decode()]

    told = [
        await ask(b"PUT", b"/scans/a%C3%A9", b"x" * 1500, content_type=b"x/y", x_amz_meta_a=b"b"),
        await ask(b"GET", b"/scans/a%C3%A9"),
        await ask(b"HEAD", b"/scans/a%C3%A9"),
        await ask(b"GET", b"/scans/a%C3%A9", b"", range=b"bytes=0-3,9-10"),
        await ask(b"GET", b"/scans/none"),
        await ask(b"GET", b"/nowhere/none"),
        await ask(b"POST", b"/scans/m?uploads"),
    ]
    upload = str(told[-1][-1]).partition("<UploadId>")[2].partition("<")[0]
    part = b"/scans/m?partNumber=%d&uploadId=" + upload.encode()
    told += [await ask(b"PUT", part % 1, b"y" * 8000), await ask(b"PUT", part % 2, b"z" * 9)]
    listed = "".join(
        f"<Part><PartNumber>{n}</PartNumber><ETag>{hashlib.md5(body).hexdigest()}</ETag></Part>"
        for n, body in ((1, b"y" * 8000), (2, b"z" * 9))
    )
    body = f"<CompleteMultipartUpload>{listed}</CompleteMultipartUpload>".encode()
    told += [
        await ask(b"POST", b"/scans/m?uploadId=" + upload.encode(), body),
        await ask(b"HEAD", b"/scans/m"),
        await ask(b"POST", b"/scans/m?uploadId=00-1", body),
        await ask(b"DELETE", b"/scans/m"),
        await ask(b"GET", b"/scans/m"),
    ]
    return [told, store.asked, engine.counters.report()]


def objects(folder: Path) -> bytes:
    """Replies to clients, requests to chunk servers and counts, of objects put, read and deleted."""
    conf = configuration.load({"UMBERLEAD_CONFIG": str(operator_file(folder))})
    with counted_names():
        return lines(asyncio.run(_objects(conf)))


def manifests(_: Path) -> bytes:
    """Of a single PUT and of a completed multipart upload, a line each."""
    return PUT.to_bytes() + b"\n" + MULTIPART.to_bytes() + b"\n"


# Gossip


NEWS = [
    MemberUpdate("f2", "10.0.0.2:7001", 3, 0),
    MemberUpdate("f3", "10.0.0.3:7001", 0, 1),
    MemberUpdate("f4", "10.0.0.4:7001", 9, 2),
]
WORDS = [
    Observation("room-a", 0),
    Observation("room-b", 1),
    Observation("room-c", 2),
    Observation("room-d", 3),
]
DATAGRAMS = (
    Datagram(0, "f1", "10.0.0.1:7001", 77, 1, 5, "", NEWS, WORDS),
    Datagram(1, "f1", "10.0.0.1:7001", 77, 2, 6, "", NEWS[:1], []),
    Datagram(2, "f1", "10.0.0.1:7001", 77, 3, 7, "f3", [], WORDS[2:]),
)


def datagrams(_: Path) -> bytes:
    """One of each kind."""
    return lines([GossipKeys([KEY]).seal(message).hex() for message in DATAGRAMS])


def gossip(_: Path) -> bytes:
    """All that three members say to each other in ten seconds, the third silent from the fifth on."""
    keys, now = GossipKeys([KEY]), 0
    members = {
        f"f{k}:1": Gossip(f"f{k}", f"f{k}:1", ["f0:1", "f1:1"], keys, k, now, 20_000) for k in range(3)
    }
    for member in members.values():
        member.observations = {f"room-{state.value}": state for state in ZoneState}
    told: list[list[Any]] = []
    while now < 10 * MICROSECONDS_PER_S:
        now += 100_000
        due = [row for member in members.values() for row in member.tick(now)]
        while due:
            address, data = due.pop(0)
            told.append([now, address, data.hex()])
            if not (address == "f2:1" and now > 5 * MICROSECONDS_PER_S):
                due += members[address].receive(now, data)
    return lines([told, [member.alive_members() for member in members.values()]])


def without(listing: CheckedList, *names: str) -> CheckedList:
    """A later list that has no longer what is named."""
    left = {name: server for name, server in listing.endpoints.items() if name not in names}
    return replace(listing, version=listing.version + 1, digest="cd" * 32, endpoints=left)


FILES: dict[str, Callable[[Path], bytes]] = {
    "state_folder.json": state_folder,
    "snapshot.bin": saved_list,
    "manifests.jsonl": manifests,
    "objects.json": objects,
    "datagrams.json": datagrams,
    "gossip.json": gossip,
}
