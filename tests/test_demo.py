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


async def _send(address: tuple[str, int], method: str, block: str, body: bytes = b"") -> tuple[int, bytes]:
    head = f"{method} /image-read?block={block} HTTP/1.1\r\nHost: n\r\nX-Call-Id: {block}{method}\r\n"
    head += f"X-IO: volume=0a,units=1,shard=3,hosts=1\r\nContent-Length: {len(body)}\r\n\r\n"
    return await call(address, head.encode() + body)


def test_emulated_endpoint_stores_bytes_and_takes_service_time() -> None:
    async def test() -> None:
        node = StoringNode("n", 3, Model(), Record(), 1)
        address = ("127.0.0.1", await node.listen("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        assert await _send(address, "PUT", "0a", b"bytes") == (200, b"stored\n")
        assert await _send(address, "GET", "0a") == (200, b"bytes")
        assert (await _send(address, "GET", "0b"))[0] == 404
        begin = loop.time()
        await asyncio.gather(*[_send(address, "GET", "0a") for _ in range(20)])
        assert loop.time() - begin > 0.1  # 20 reads of about 12 ms on two cores; repeats cost less
        assert not node.node.busy and node.node.connections == len(node.connections)
        node.close()

    asyncio.run(test())


def test_emulated_endpoint_caps_its_connections() -> None:
    async def test() -> None:
        node = StoringNode("n", 3, Model(), Record(), 1)
        address = ("127.0.0.1", await node.listen("127.0.0.1", 0))
        node.node.connections = node.node.traits.max_connections
        assert await _send(address, "GET", "0a") == (0, b"")
        node.node.connections = 0
        assert (await _send(address, "GET", "0a"))[0] == 404
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
        name, byte_range = head.split()[1], re.search(rb"bytes=(\d+)-(\d+)", head)
        if head.startswith(b"PUT"):
            self.kept[name] = body
            response_body = b""
        else:
            response_body = self.spoil(self.kept[name])
            response_body = (
                response_body[int(byte_range[1]) : int(byte_range[2]) + 1] if byte_range else response_body
            )
        self.transport.write(
            b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (self.status, len(response_body)) + response_body
        )


@pytest.mark.parametrize(
    ("spoil", "status", "expect_mismatch"),
    [
        (lambda body: body, 200, False),
        (lambda body: bytes([body[0] ^ 1]) + body[1:], 200, True),
        (lambda body: body[:-1], 200, True),
        (lambda body: body, 503, False),
    ],
)
def test_load_reports_reads_with_wrong_bytes(spoil: Any, status: int, expect_mismatch: bool) -> None:
    async def test() -> None:
        protocol_class = type(
            "Spoilt", (Store,), {"kept": {}, "spoil": staticmethod(spoil), "status": status}
        )
        server = await asyncio.get_running_loop().create_server(protocol_class, "127.0.0.1", 0)
        load = Objects(server.sockets[0].getsockname(), ["scans"], 200.0, 1)
        stop = asyncio.Event()
        load_task = asyncio.create_task(load.run(stop))
        while sum(load.tally.completed.values()) + load.tally.refused < 80:
            await asyncio.sleep(0.01)
        stop.set()
        await load_task
        server.close()
        assert bool(load.tally.mismatches) == expect_mismatch
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


def test_call_without_a_listener_fails_and_does_not_hang() -> None:
    async def test() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            assert await call(unused.getsockname(), b"GET / HTTP/1.1\r\n\r\n") == (0, b"")

    asyncio.run(test())


def test_object_bytes_depend_on_the_name() -> None:
    assert content("a", 100) == content("a", 100) != content("b", 100)


def _write_front_files(folder: Path) -> Path:
    """Write the files of a front and four servers; their ports were free just before, on an own address."""
    sockets = [socket.socket() for _ in range(4)]
    for sock in sockets:
        sock.bind(("127.77.1.1", 0))
    lines = ["format 1", "version 1"]
    for n, sock in enumerate(sockets):
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


def test_demo_stores_and_reads_objects_through_a_front(tmp_path: Path) -> None:
    result = CliRunner().invoke(
        command, ["demo", str(_write_front_files(tmp_path)), "--seconds", "3", "--rate", "20"]
    )
    assert result.exit_code == 0, result.output
    found = re.search(
        r"(\d+) objects in, (\d+) read back, 0 not the same; 0 refused, 0 failed\n$", result.output
    )
    assert found is not None and int(found[1]) > 2 and int(found[2]) > 2, result.output


def test_demo_names_a_missing_or_unknown_setting(tmp_path: Path) -> None:
    path = _write_front_files(tmp_path)
    text = path.read_text()
    path.write_text(text.replace("[membership]", "[membershipp]"))
    result = CliRunner().invoke(command, ["demo", str(path)])
    assert result.exit_code == 2 and "membershipp: is unknown" in result.output
    path.write_text(re.sub(r"\[membership\].*?\n\n", "", text, flags=re.S))
    result = CliRunner().invoke(command, ["demo", str(path)])
    assert result.exit_code == 2 and "membership: the demo needs a watched list" in result.output
