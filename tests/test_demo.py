"""The demo: emulated endpoints that store bytes, a load that compares them, and the command with both."""

import asyncio
import re
import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from umberlead.commands import command
from umberlead.emulator.stored import StoringNode
from umberlead.load_generator.objects import Objects, call, content
from umberlead.load_generator.showing import rows, summary
from umberlead.testing.chunkserver import Model, Record

ROOT = Path(__file__).parent.parent


async def _ask(address: tuple[str, int], method: str, block: str, body: bytes = b"") -> tuple[int, bytes]:
    head = f"{method} /image-read?block={block} HTTP/1.1\r\nHost: n\r\nX-Call-Id: {block}{method}\r\n"
    head += f"X-IO: volume=0a,units=1,shard=3,hosts=1\r\nContent-Length: {len(body)}\r\n\r\n"
    return await call(address, head.encode() + body)


def test_an_emulated_node_keeps_bytes_and_takes_its_time() -> None:
    async def test() -> None:
        node = StoringNode("n", 3, Model(), Record(), 1)
        address = ("127.0.0.1", await node.listen("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        assert await _ask(address, "PUT", "0a", b"bytes") == (200, b"stored\n")
        assert await _ask(address, "GET", "0a") == (200, b"bytes")
        assert (await _ask(address, "GET", "0b"))[0] == 404
        began = loop.time()
        await asyncio.gather(*[_ask(address, "GET", "0a") for _ in range(20)])
        assert (
            loop.time() - began > 0.1
        )  # 20 requests of about 12 ms on two cores; repeated reads are cheaper
        assert not node.node.busy and node.node.connections == len(node.connections)
        node.close()

    asyncio.run(test())


def test_an_emulated_nodes_table_of_connections_is_capped() -> None:
    async def test() -> None:
        node = StoringNode("n", 3, Model(), Record(), 1)
        address = ("127.0.0.1", await node.listen("127.0.0.1", 0))
        node.node.connections = node.node.traits.max_connections
        assert await _ask(address, "GET", "0a") == (0, b"")
        node.node.connections = 0
        assert (await _ask(address, "GET", "0a"))[0] == 404
        node.close()

    asyncio.run(test())


class Store(asyncio.Protocol):
    """A minimal object store; `spoil` alters the bodies that it returns."""

    kept: dict[bytes, bytes] = {}
    spoil: Any = staticmethod(lambda body: body)
    status = 200

    def __init__(self) -> None:
        self.data = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if not end or (length and len(body) < int(length[1])):
            return
        name, part = head.split()[1], re.search(rb"bytes=(\d+)-(\d+)", head)
        if head.startswith(b"PUT"):
            self.kept[name] = body
            made = b""
        else:
            made = self.spoil(self.kept[name])
            made = made[int(part[1]) : int(part[2]) + 1] if part else made
        self.transport.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (self.status, len(made)) + made)


@pytest.mark.parametrize(
    ("spoil", "status", "wrong"),
    [
        (lambda body: body, 200, False),
        (lambda body: bytes([body[0] ^ 1]) + body[1:], 200, True),
        (lambda body: body[:-1], 200, True),
        (lambda body: body, 503, False),
    ],
)
def test_load_compares_every_byte_that_comes_back(spoil: Any, status: int, wrong: bool) -> None:
    async def test() -> None:
        kind = type("Spoilt", (Store,), {"kept": {}, "spoil": staticmethod(spoil), "status": status})
        server = await asyncio.get_running_loop().create_server(kind, "127.0.0.1", 0)
        load = Objects(server.sockets[0].getsockname(), ["scans"], 200.0, 1)
        until = asyncio.Event()
        going = asyncio.create_task(load.run(until))
        while sum(load.tally.completed.values()) + load.tally.refused < 80:
            await asyncio.sleep(0.01)
        until.set()
        await going
        server.close()
        assert bool(load.tally.mismatches) == wrong
        if status == 503:
            assert load.tally.refused >= 80 and not load.tally.completed
        else:
            assert load.tally.completed["back"] and load.tally.completed["part"] and not load.tally.refused
            assert "not the same" in summary(load.tally)
            assert [r[0] for r in rows(load.tally, Counter(), 1.0)] == [
                "objects in",
                "objects back",
                "ranges back",
            ]

    asyncio.run(test())


def test_a_front_that_is_not_there_is_a_failure_and_no_hang() -> None:
    async def test() -> None:
        with socket.socket() as nobody:
            nobody.bind(("127.0.0.1", 0))
            assert await call(nobody.getsockname(), b"GET / HTTP/1.1\r\n\r\n") == (0, b"")

    asyncio.run(test())


def test_an_objects_bytes_are_its_names() -> None:
    assert content("a", 100) == content("a", 100) != content("b", 100)


def _set_up(folder: Path) -> Path:
    """Write the files of a front and four servers; their ports were free just before, on an own address."""
    socks = [socket.socket() for _ in range(4)]
    for sock in socks:
        sock.bind(("127.77.1.1", 0))
    lines = ["format 1", "version 1"]
    for n, sock in enumerate(socks):
        lines.append(f"server s{n} address 127.77.1.1:{sock.getsockname()[1]} shard {n % 2}")
        sock.close()
    (folder / "servers.list").write_text("\n".join([*lines, f"end {len(lines)}", ""]))
    text = (ROOT / "deploy/watched.toml").read_text()
    text = text.replace('"watched/servers.list"', '"servers.list"').replace("nShards = 5", "nShards = 2")
    text = text.replace('"127.0.0.1:9000"', '"127.0.0.1:0"').replace('"127.0.0.1:9001"', '"127.0.0.1:0"')
    # The limits are so long that a slow machine meets them: a failed request then shows a fault of the front.
    text = re.sub(r"\b(within_ms) = \d+", r"\1 = 50000", text)
    text = re.sub(r"\b(hardLimit|aim) = \d+", r"\1 = 50000000", text)
    (folder / "front.toml").write_text(text)
    return folder / "front.toml"


def test_objects_go_in_and_come_back_through_the_whole_front(tmp_path: Path) -> None:
    got = CliRunner().invoke(command, ["demo", str(_set_up(tmp_path)), "--seconds", "3", "--rate", "20"])
    assert got.exit_code == 0, got.output
    found = re.search(
        r"(\d+) objects in, (\d+) read back, 0 not the same; 0 refused, 0 failed\n$", got.output
    )
    assert found is not None and int(found[1]) > 2 and int(found[2]) > 2, got.output


def test_the_demo_says_what_is_missing(tmp_path: Path) -> None:
    path = _set_up(tmp_path)
    text = path.read_text()
    path.write_text(text.replace("[membership]", "[membershipp]"))
    got = CliRunner().invoke(command, ["demo", str(path)])
    assert got.exit_code == 2 and "membershipp: is unknown" in got.output
    path.write_text(re.sub(r"\[membership\].*?\n\n", "", text, flags=re.S))
    got = CliRunner().invoke(command, ["demo", str(path)])
    assert got.exit_code == 2 and "membership: the demo needs a watched list" in got.output
