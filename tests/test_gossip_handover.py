"""The gossip address of a front while one of its processes replaces another; all are real processes."""

import signal
import socket
from pathlib import Path

import pytest

from tests.front_processes import CONFIG_TEXT, ENDPOINT_ENTRY, FrontUnderLimit, run_on_uvloop, wait_until

MAX_DESCRIPTORS = 384
PEERS_TABLE = """
[rooms]
own = "room-a"
[rooms.peers]
listen = "127.0.0.1:{port}"
keys = "../peers.keys"
"""


def free_udp_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def start_process(root: Path, name: str, port: int, state: bool = True) -> FrontUnderLimit:
    (root / "peers.keys").write_text("6f70657261746f72732d6c6f6f706261636b\n")
    (root / name).mkdir()
    text = CONFIG_TEXT.format(sockets=MAX_DESCRIPTORS, discovery="", endpoints=ENDPOINT_ENTRY % (0, 1))
    if not state:
        text = text.replace('state = "../state"\n', "")
    return FrontUnderLimit(root / name, text + PEERS_TABLE.format(port=port), MAX_DESCRIPTORS)


# Guards against a new process that exits, or never gossips, as the old one has the address of the datagrams.
@pytest.mark.parametrize("end_signal", [signal.SIGTERM, signal.SIGKILL])
def test_new_process_serves_beside_the_old_one_and_takes_over_its_gossip(
    tmp_path: Path, end_signal: signal.Signals
) -> None:
    async def test() -> None:
        port = free_udp_port()
        old = start_process(tmp_path, "old", port)
        processes = [old]
        try:
            await old.until("limits")
            assert (await old.until("gossip_started"))["address"] == f"127.0.0.1:{port}"
            new = start_process(tmp_path, "new", port)
            processes.append(new)
            await new.until("limits")  # logged once it listens for clients
            assert new.child.poll() is None, new.log.read_text()
            assert (await new.until("gossip_delayed"))["key"] == "rooms.peers.listen"
            assert not new.logged("gossip_started")
            old.child.send_signal(end_signal)
            assert (await new.until("gossip_started"))["address"] == f"127.0.0.1:{port}"
            await wait_until(lambda: old.child.poll() is not None, old.log.read_text)
            assert old.child.returncode == (0 if end_signal is signal.SIGTERM else -signal.SIGKILL)
            new.child.terminate()
            await wait_until(lambda: new.child.poll() is not None, new.log.read_text)
            assert new.child.returncode == 0
        finally:
            for process in processes:
                process.child.kill()
                process.child.wait()

    run_on_uvloop(test())


# Guards against a process that can't be stopped, or takes the address, while it waits for it.
def test_process_that_waits_for_the_gossip_address_can_be_stopped(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
            holder.bind(("127.0.0.1", 0))
            front = start_process(tmp_path, "front", holder.getsockname()[1])
            try:
                await front.until("gossip_delayed")
                await front.until("limits")
                front.child.terminate()
                await wait_until(lambda: front.child.poll() is not None, front.log.read_text)
                assert front.child.returncode == 0 and not front.logged("gossip_started")
            finally:
                front.child.kill()
                front.child.wait()

    run_on_uvloop(test())


# Guards against a wrong address that is passed over where no other process of the front can have it.
def test_gossip_address_in_use_without_a_state_folder_is_an_error_that_names_its_key(tmp_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
        holder.bind(("127.0.0.1", 0))
        front = start_process(tmp_path, "front", holder.getsockname()[1], state=False)
        assert front.child.wait(timeout=30) == 2
    assert "rooms.peers.listen" in front.log.read_text()
