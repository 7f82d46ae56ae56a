"""The demo: a front in a child process, with emulated endpoints and object load in this process.

Throughput and latencies are shown on the terminal.
"""

import asyncio
import os
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

from umberlead.common.errors import UmberleadError
from umberlead.load_generator.objects import PLACES, Objects, Tally
from umberlead.membership.model import EndpointSpec
from umberlead.testing import fleet
from umberlead.testing.chunkserver import Model, Record

START_TIMEOUT_SECONDS = 20.0  # s until the front must listen
UPDATE_INTERVAL_SECONDS = 1.0  # s between two updates of the figures
ROW_NAMES = {"in": "objects in", "back": "objects back", "part": "ranges back"}


class FrontStartError(UmberleadError, RuntimeError):
    """The front ended before it listened; the text holds the last line of its log."""


def rows(tally: Tally, previous: Counter[str], elapsed: float) -> list[list[str]]:
    """Return a row for each entry of PLACES: requests a second, requests in all, octets, p50 and p99."""
    return [
        [
            ROW_NAMES[p],
            f"{(tally.completed[p] - previous[p]) / elapsed:.1f}/s",
            f"{tally.completed[p]}",
            f"{tally.octets[p] / 1e6:.1f} MB",
            f"{tally.percentile(p, 50):.0f} ms",
            f"{tally.percentile(p, 99):.0f} ms",
        ]
        for p in PLACES
    ]


def summary(tally: Tally) -> str:
    """Return the totals of all requests in one line."""
    read = tally.completed["back"] + tally.completed["part"]
    return (
        f"{tally.completed['in']} objects in, {read} read back, {len(tally.mismatches)} not the same; "
        f"{tally.refused} refused, {tally.failed} failed"
    )


class Screen:
    """Shows figures: a live table on a terminal, otherwise a line for each update."""

    def __init__(self, names: list[str]) -> None:
        """Create a screen that shows the request rates of the endpoints `names`."""
        self.names = names
        self.live: Any = None
        self.previous_completed: Counter[str] = Counter()
        self.previous_requests: Counter[str] = Counter()
        self.shown_at = time.monotonic()

    def __enter__(self) -> "Screen":
        """Start the live table if standard output is a terminal."""
        if sys.stdout.isatty():
            from rich.live import Live

            self.live = Live(refresh_per_second=4)
            self.live.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the live table."""
        if self.live is not None:
            self.live.stop()

    def show(self, tally: Tally, requests: Counter[str]) -> None:
        """Show the totals and the rates since the last call."""
        now = time.monotonic()
        elapsed = max(now - self.shown_at, 1e-3)
        servers = fleet.format_rates(requests, self.previous_requests, self.names, elapsed)
        if self.live is not None:
            from rich.console import Group
            from rich.table import Table

            table = Table("", "now", "in all", "octets", "p50", "p99")
            for row in rows(tally, self.previous_completed, elapsed):
                table.add_row(*row)
            self.live.update(Group(table, summary(tally), f"chunk servers: {servers}", "Ctrl-C ends it"))
        else:
            print(f"{summary(tally)}; chunk servers: {servers}", flush=True)
        self.previous_completed = Counter(tally.completed)
        self.previous_requests = Counter(requests)
        self.shown_at = now


async def _listening_address(process: asyncio.subprocess.Process, log: Any) -> tuple[str, int]:
    """Return the address of the object API: the last one that the front logs before its limits."""
    assert process.stderr is not None
    last = ""
    found = None
    while line := (await process.stderr.readline()).decode("utf-8", "replace"):
        log.write(line)
        last = line.strip()
        if " listening " in line:
            found = re.search(r'address="([^"]+):(\d+)"', line)
        if " limits " in line and found is not None:
            return found[1], int(found[2])
    raise FrontStartError(last or "the front ended without a log line")


async def run(
    config: Path,
    servers: list[EndpointSpec],
    buckets: list[str],
    seconds: float | None,
    rate: float,
    seed: int,
) -> bool:
    """Run the demo until a signal, or for `seconds`.

    Return whether all bytes read were right and the front ended with exit code 0.
    """
    loop = asyncio.get_running_loop()
    done = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, done.set)
    descriptor, path = tempfile.mkstemp(prefix="umberlead-demo-", suffix=".log")
    os.close(descriptor)
    with open(os.devnull, "w") as null_device:
        record = Record(null_device)
        nodes = await fleet.start(servers, Model(), record, seed, emulated=True)
        log = open(path, "w")  # noqa: SIM115 (closed below, once the front has ended)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "umberlead",
            "run",
            str(config),
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        try:
            address = await asyncio.wait_for(_listening_address(process, log), START_TIMEOUT_SECONDS)
            print(f"objects at http://{address[0]}:{address[1]}/{buckets[0]}/NAME; the front's log: {path}")
            log_copy = asyncio.create_task(_copy_log(process, log))
            bytes_correct = await _run_load(
                Objects(address, buckets, rate, seed), record, nodes, seconds, done
            )
        finally:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.terminate()
            code = await process.wait()
        await log_copy
        for node in nodes:
            node.close()
        log.close()
    if code != 0:
        print(f"the front ended with {code}: {path}", file=sys.stderr)
    return bytes_correct and code == 0


async def _copy_log(process: asyncio.subprocess.Process, log: Any) -> None:
    assert process.stderr is not None
    while line := await process.stderr.readline():
        log.write(line.decode("utf-8", "replace"))


async def _run_load(
    load: Objects, record: Record, nodes: list[Any], seconds: float | None, done: asyncio.Event
) -> bool:
    end = time.monotonic() + seconds if seconds is not None else float("inf")
    load_task = asyncio.create_task(load.run(done)) if load.rate > 0 else None
    with Screen([n.name for n in nodes]) as screen:
        while not done.is_set() and time.monotonic() < end:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    done.wait(), min(UPDATE_INTERVAL_SECONDS, max(end - time.monotonic(), 0.01))
                )
            screen.show(load.tally, record.counts)
    done.set()
    if load_task is not None:
        await load_task
    print(summary(load.tally))
    for mismatch in load.tally.mismatches[:10]:
        print(f"NOT THE SAME: {mismatch}")
    return not load.tally.mismatches


def main(
    config: Path,
    servers: list[EndpointSpec],
    buckets: list[str],
    seconds: float | None,
    rate: float,
    seed: int,
) -> bool:
    """Run the demo until Ctrl-C, or for `seconds`; return False if bytes were wrong or the front failed.

    Raises:
        FrontStartError: The front ended before it listened.
        OSError: A socket or file can't be used.
    """
    return asyncio.run(run(config, servers, buckets, seconds, rate, seed))
