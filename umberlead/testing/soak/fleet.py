"""The processes of a soak run: starts, controls, stops and inspects them."""

import asyncio
import mmap
import os
import signal
import struct
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

START_SECONDS = 30.0  # time within which a process must be ready
READY_POLL_SECONDS = 0.03
CALL_SECONDS = 1.0  # timeout of a call of the admin API
FAULTS_SOURCE = Path(__file__).with_name("faults.c")
FAULTS_FORMAT = struct.Struct("<q12iq256s")  # `struct faults`
MODULE = "umberlead.testing.soak"
# Starts the program without the package rich, which the platform's environment does not have.
FRONT_SCRIPT = (
    "import runpy, sys; sys.modules['rich'] = None; runpy.run_module('umberlead', run_name='__main__')"
)


class StartError(RuntimeError):
    """A process did not start; the message has the last lines of its log."""


def build_faults(folder: Path) -> Path:
    """Compile the library that makes system calls fail.

    Raises:
        CalledProcessError: the library does not compile.
    """
    library = folder / "faults.so"
    call = ["cc", "-O2", "-shared", "-fPIC", "-o", str(library), str(FAULTS_SOURCE), "-ldl"]
    subprocess.run(call, check=True, capture_output=True)
    return library


@dataclass(slots=True)
class SystemFaults:
    """The injected faults of one process; see `struct faults` in faults.c. Rates are per 1000 calls."""

    clock_step_ns: int = 0
    accept_rate: int = 0
    accept_errno: int = 0
    socket_rate: int = 0
    socket_errno: int = 0
    connect_rate: int = 0
    connect_errno: int = 0
    short_rate: int = 0
    eintr_rate: int = 0
    break_rate: int = 0
    break_errno: int = 0
    folder_rate: int = 0
    folder_errno: int = 0


class FaultsFile:
    """The memory-mapped file that tells a process which system calls fail."""

    def __init__(self, path: Path, folder: Path) -> None:
        """Create the file at `path`; `folder` is where writes fail if ordered."""
        self.path = path
        self.faults = SystemFaults()
        self._folder = str(folder).encode()
        path.write_bytes(bytes(FAULTS_FORMAT.size))
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), FAULTS_FORMAT.size)
        self.apply()

    def apply(self) -> None:
        """Write the current faults to the file, so that they take effect."""
        f = self.faults
        values = (
            f.clock_step_ns,
            f.accept_rate,
            f.accept_errno,
            f.socket_rate,
            f.socket_errno,
            f.connect_rate,
            f.connect_errno,
            f.short_rate,
            f.eintr_rate,
            f.break_rate,
            f.break_errno,
            f.folder_rate,
            f.folder_errno,
        )
        self._map[:] = FAULTS_FORMAT.pack(*values, self.injected(), self._folder)

    def injected(self) -> int:
        """Return how many system calls were made to fail so far."""
        return int(FAULTS_FORMAT.unpack(self._map[:])[13])


@dataclass(slots=True)
class Child:
    """A helper process that reports when it is ready, and takes orders on standard input."""

    name: str
    process: asyncio.subprocess.Process

    def order(self, **order: Any) -> None:
        """Send an order."""
        if self.process.returncode is None and self.process.stdin is not None:
            self.process.stdin.write(msgspec.json.encode(order) + b"\n")

    def kill(self) -> None:
        """Send SIGKILL unless the process has ended."""
        if self.process.returncode is None:
            self.process.kill()


async def start_child(name: str, module: str, *words: str) -> Child:
    """Start a process of this package and wait until it is ready.

    Raises:
        StartError: the process ended instead.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        f"{MODULE}.{module}",
        *words,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    if not await process.stdout.readline():
        raise StartError(f"{module} {name} did not start")
    return Child(name, process)


@dataclass(slots=True, eq=False)
class FrontProcess:
    """One process of a front.

    Attributes:
        front: name of the front.
        management: address of its admin API.
        faults: its injected faults.
        ends: whether it was sent SIGTERM or SIGKILL.
        ready_seconds: time from its start until it was ready; None before.
    """

    front: str
    management: str
    process: asyncio.subprocess.Process
    faults: FaultsFile
    log: Path
    started: float = field(default_factory=time.monotonic)
    ends: bool = False
    killed: bool = False
    ready_seconds: float | None = None

    async def call(self, method: str, path: str) -> int:
        """Call the admin API; return the status, or 0 if there was no answer."""
        return await asyncio.get_running_loop().run_in_executor(None, self._call, method, path)

    def _call(self, method: str, path: str) -> int:
        request = urllib.request.Request(f"http://{self.management}{path}", method=method)
        try:
            with urllib.request.urlopen(request, timeout=CALL_SECONDS) as answer:
                return int(answer.status)
        except urllib.error.HTTPError as fault:
            return fault.code
        except OSError:
            return 0

    async def ready(self) -> None:
        """Wait until the process reports that it is ready.

        Raises:
            StartError: the process ended, or took longer than START_SECONDS.
        """
        while await self.call("GET", "/control/ready") != 200:
            late = time.monotonic() > self.started + START_SECONDS
            if late or self.process.returncode is not None:
                tail = self.log.read_text(errors="replace")[-2000:]
                raise StartError(f"{self.front}: exit {self.process.returncode}, {tail}")
            await asyncio.sleep(READY_POLL_SECONDS)
        self.ready_seconds = time.monotonic() - self.started

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def descriptors(self) -> int:
        """Return the number of its open descriptors; 0 once it has ended."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def memory_mb(self) -> float:
        """Return its resident memory in MiB; 0 once it has ended."""
        return _memory_mb(self.process.pid, "VmRSS:")

    def peak_memory_mb(self) -> float:
        """Return its peak of resident memory in MiB; 0 once it has ended."""
        return _memory_mb(self.process.pid, "VmHWM:")


def _memory_mb(pid: int, name: str) -> float:
    """Return a figure of /proc/PID/status in MiB; 0 once the process has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    rows = [line.split() for line in status.splitlines() if line.startswith(name)]
    return int(rows[0][1]) / 1024 if rows else 0.0


async def start_front(
    name: str, env: dict[str, str], management: str, faults: FaultsFile, library: Path, log: Path
) -> FrontProcess:
    """Start a process of a front; return before it is ready."""
    file: BinaryIO
    with open(log, "ab") as file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-c",
            FRONT_SCRIPT,
            stderr=file,
            stdout=file,
            stdin=asyncio.subprocess.DEVNULL,
            env=os.environ
            | env
            | {
                "EDGE_NAME": name,
                "EDGE_MANAGEMENT": management,
                "LD_PRELOAD": str(library),
                "FAULTS_FILE": str(faults.path),
            },
        )
    return FrontProcess(name, management, process, faults, log)
