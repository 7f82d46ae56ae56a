"""Fronts as processes while system calls fail: state folder, wall clock, accept, socket.

Each test starts a small fleet from components of the soak test and forces one race. Faults take effect before
the step that they concern, so that results do not depend on the speed of the machine.
"""

import asyncio
import errno
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from umberlead.testing.soak.fleet import FrontProcess
from umberlead.testing.soak.judge import Evidence, find_excess_budgets, find_slow_start_overloads
from umberlead.testing.soak.mix import Mix
from umberlead.testing.soak.plan import Size
from umberlead.testing.soak.records import ClientRecord, Event, NodeRecord, read
from umberlead.testing.soak.run import Run
from umberlead.testing.soak.scenario import COLD_WINDOW_SECONDS, FRONT_HOST, PORT, limits

HOUR_NS = 3600 * 1_000_000_000
SEED = 1
DEADLINE_SECONDS = 2.5
SHORTAGE_SECONDS = 1.0


def run_steps(folder: Path, nodes: int, steps: Callable[[Run], Awaitable[None]]) -> Run:
    """Start one front and its chunk servers, carry out the steps, and stop all; return the run."""

    async def whole() -> Run:
        run = Run(folder, SEED, 0.0, Mix("one front", Size(1, nodes, 0), DEADLINE_SECONDS, ()), [])
        try:
            await run.start()
            await steps(run)
        finally:
            await run.close()
        return run

    return asyncio.run(whole())


def set_faults(process: FrontProcess, **faults: int) -> None:
    for name, value in faults.items():
        setattr(process.faults.faults, name, value)
    process.faults.apply()


def request_bytes(id_: str, budget: float, shard: int = 0, units: int = 1) -> bytes:
    return (
        f"GET /fetch?block={7:016x} HTTP/1.1\r\nHost: s\r\nX-Call-Id: {id_}\r\nX-Plan: basic\r\n"
        f"X-Budget: {budget:.3f}\r\nX-IO: volume={3:016x},units={units},shard={shard},hosts=1\r\n\r\n"
    ).encode()


async def send_request(run: Run, id_: str, budget: float, shard: int = 0) -> tuple[int, int, int]:
    """Send a request on a new connection; return when it was sent and answered, and the status."""
    address = f"{run.network_prefix}.{FRONT_HOST}"
    reader, writer = await asyncio.open_connection(address, PORT)
    writer.write(request_bytes(id_, budget, shard))
    await writer.drain()
    sent = time.monotonic_ns()
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return sent, time.monotonic_ns(), int(head.split()[1])


def attempts(run: Run) -> list[NodeRecord]:
    return [row for path in run.folder.glob("node-*.jsonl") for row in read(path, NodeRecord)]


def test_handover_with_failing_writes_to_state_folder(tmp_path: Path) -> None:
    """A new process that assumes it is alone can't listen beside the old one, and exits with 2."""
    for code in (errno.ENOSPC, errno.EIO):
        folder = tmp_path / errno.errorcode[code]
        folder.mkdir()

        async def steps(run: Run, code: int = code) -> None:
            front = run.fronts[0]
            old = front.processes[0]
            set_faults(old, folder_rate=1000, folder_errno=code)
            new = await run.start_process(front)
            assert new.process.returncode is None and new.ready_seconds is not None, run.violations
            await run.end_process(front, old)
            assert (await send_request(run, "a", 1.0))[2] == 200
            new.signal(signal.SIGTERM)
            assert await asyncio.wait_for(new.process.wait(), 6.0) == 0, new.log.read_text()

        assert run_steps(folder, 1, steps).violations == []


def test_cold_server_after_wall_clock_step_gets_slow_start(
    tmp_path: Path,
) -> None:
    """Guards against a start time that seems an hour old: the cold server would get its full load at once."""

    async def steps(run: Run) -> None:
        await asyncio.sleep(COLD_WINDOW_SECONDS)  # a new process sends nothing to cold servers in this time
        run.step_clock(-HOUR_NS)
        server = await run.start_server(0, "cold", cold=True)
        run.fronts[0].agent.send_change(run.entry(server, cold=True))
        run.fronts[0].agent.send_change(run.entry(run.initial_server, status="gone"))
        await asyncio.sleep(0.3)  # the front learns of the change: earlier requests go elsewhere or wait
        await asyncio.gather(*(send_request(run, f"{n}", 1.2) for n in range(120)))

    run = run_steps(tmp_path, 1, steps)
    events = list(read(run.folder / "events.jsonl", Event))
    rows = [row for row in attempts(run) if row.node.startswith("cold")]
    assert rows and not find_slow_start_overloads(Evidence(nodes=rows, events=events), limits())


def test_budget_excludes_time_spent_waiting_for_accept(
    tmp_path: Path,
) -> None:
    """Guards against a deadline counted from the accept: it would give the server more time than is left."""
    rows: list[ClientRecord] = []

    async def steps(run: Run) -> None:
        process = run.fronts[0].processes[0]
        for number, code in enumerate((errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS)):
            set_faults(process, accept_rate=1000, accept_errno=code)
            pending_request = asyncio.create_task(send_request(run, f"{number}", 1.0))
            await asyncio.sleep(0.5)
            set_faults(process, accept_rate=0)
            sent, ended, status = await pending_request
            assert status == 200 and ended < sent + 1_000_000_000, (errno.errorcode[code], status)
            rows.append(
                ClientRecord(
                    f"{number}", "f0", "fresh", "fetch", 1.0, 0, 0, sent, sent, sent, ended, "answered"
                )
            )

    run = run_steps(tmp_path, 1, steps)
    assert not find_excess_budgets(Evidence(clients=rows, nodes=attempts(run)))


def test_start_retries_while_socket_fails_with_enobufs(tmp_path: Path) -> None:
    """socket() fails with ENOBUFS for a second, which must not make the start exit with 2."""

    async def steps(run: Run) -> None:
        front = run.fronts[0]
        await run.end_process(front, front.processes[0])
        process = await run.launch_process(front)
        set_faults(process, socket_rate=1000, socket_errno=errno.ENOBUFS)
        await asyncio.sleep(SHORTAGE_SECONDS)
        assert process.process.returncode is None, process.log.read_text()
        set_faults(process, socket_rate=0)
        await process.ready()
        _, _, status = await send_request(run, "after", 1.0)
        assert status == 200
        ending = await run.launch_process(front)
        set_faults(ending, socket_rate=1000, socket_errno=errno.ENOBUFS)
        await asyncio.sleep(SHORTAGE_SECONDS)
        await run.end_process(front, ending)  # SIGTERM while it waits

    run = run_steps(tmp_path, 1, steps)
    assert run.violations == []


def test_cold_server_gets_slow_start_when_front_starts_with_wrong_clock(
    tmp_path: Path,
) -> None:
    """No earlier process saw the correct time. By the wrong clock, a cold server started an hour ago.

    The front must not take it for a warm one.
    """

    async def whole() -> Run:
        run = Run(tmp_path, SEED, 0.0, Mix("one front", Size(1, 1, 0), DEADLINE_SECONDS, ()), [])
        try:
            run.step_clock(HOUR_NS)  # the clock of the machine on which the front starts
            await run.start()
            run.clear_clock_step()  # the clock of discovery is correct
            await asyncio.sleep(COLD_WINDOW_SECONDS)
            server = await run.start_server(0, "cold", cold=True)
            run.fronts[0].agent.send_change(run.entry(server, cold=True))
            run.fronts[0].agent.send_change(run.entry(run.initial_server, status="gone"))
            await asyncio.sleep(0.3)
            await asyncio.gather(*(send_request(run, f"{n}", 1.2) for n in range(120)))
        finally:
            await run.close()
        return run

    run = asyncio.run(whole())
    events = list(read(run.folder / "events.jsonl", Event))
    rows = [row for row in attempts(run) if row.node.startswith("cold")]
    assert rows
    assert not find_slow_start_overloads(Evidence(nodes=rows, events=events), limits())
